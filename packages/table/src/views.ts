import { COLUMNS, type RowKind, SYSTEM_ROW_ID } from "./columns.ts";
import { findRow, parseRowId, type Row, type Table } from "./table.ts";

/** Typed view of a `caller` row. */
export interface CallerPolicy {
  name: string;
  weight: number;
  class: "foreground" | "bulk";
  maxCalls: number;
  tokensPerS: number;
  budgetTokens: number;
  turnLimit: number;
  idleLimitMs: number;
  dataCentres: string[];
}

/** Typed view of an `upstream` row. */
export interface UpstreamPolicy {
  name: string;
  kind: "engine" | "service";
  address: string;
  dataCentre: string;
  serves: string[];
  capacity: number;
  checksOrders: boolean;
  drained: boolean;
}

/** Typed view of a `route` row. */
export interface RoutePolicy {
  name: string;
  idempotent: boolean;
  costTokens: number;
  deadlineMs: number;
}

/** Typed view of a `model` row. */
export interface ModelPolicy {
  name: string;
  replicas: number;
  weightsMb: number;
  maxOutputTokens: number;
  deadlineMs: number;
}

/** Typed view of the `system/main` row. */
export interface SystemPolicy {
  queueLimit: number;
  queueDeadlineMs: number;
  retryShare: number;
  policy: string;
}

/** Typed view of the table, indexed by row name. */
export interface TableView {
  revision: number;
  callers: Map<string, CallerPolicy>;
  upstreams: Map<string, UpstreamPolicy>;
  routes: Map<string, RoutePolicy>;
  models: Map<string, ModelPolicy>;
  system: SystemPolicy;
}

const MS_PER_S = 1_000;

/** Returns the typed view of a table, with defaults for absent cells. */
export function createTableView(table: Table): TableView {
  return {
    revision: table.revision,
    callers: viewRows(table, "caller", viewCaller),
    upstreams: viewRows(table, "upstream", viewUpstream),
    routes: viewRows(table, "route", viewRoute),
    models: viewRows(table, "model", viewModel),
    system: viewSystem(findRow(table, SYSTEM_ROW_ID)),
  };
}

function viewRows<T>(
  table: Table,
  kind: RowKind,
  view: (name: string, cells: Record<string, unknown>) => T,
): Map<string, T> {
  const views = new Map<string, T>();
  for (const row of table.rows) {
    const id = parseRowId(row.id);
    if (id.kind !== kind) continue;
    views.set(id.name, view(id.name, withDefaults(kind, row)));
  }
  return views;
}

function withDefaults(
  kind: RowKind,
  row: Row | undefined,
): Record<string, unknown> {
  const defaults = COLUMNS[kind].map((def) => [def.name, def.default]);
  return { ...Object.fromEntries(defaults), ...row?.cells };
}

function viewCaller(name: string, cells: Record<string, unknown>) {
  return {
    name,
    weight: cells["weight"] as number,
    class: cells["class"] as CallerPolicy["class"],
    maxCalls: cells["max_calls"] as number,
    tokensPerS: cells["tokens_per_s"] as number,
    budgetTokens: cells["budget_tokens"] as number,
    turnLimit: cells["turn_limit"] as number,
    idleLimitMs: cells["idle_limit_s"] as number * MS_PER_S,
    dataCentres: cells["data_centres"] as string[],
  };
}

function viewUpstream(name: string, cells: Record<string, unknown>) {
  return {
    name,
    kind: cells["kind"] as UpstreamPolicy["kind"],
    address: cells["address"] as string,
    dataCentre: cells["data_centre"] as string,
    serves: cells["serves"] as string[],
    capacity: cells["capacity"] as number,
    checksOrders: cells["checks_orders"] as boolean,
    drained: cells["state"] === "drained",
  };
}

function viewRoute(name: string, cells: Record<string, unknown>) {
  return {
    name,
    idempotent: cells["idempotent"] as boolean,
    costTokens: cells["cost_tokens"] as number,
    deadlineMs: cells["deadline_s"] as number * MS_PER_S,
  };
}

function viewModel(name: string, cells: Record<string, unknown>) {
  return {
    name,
    replicas: cells["replicas"] as number,
    weightsMb: cells["weights_mb"] as number,
    maxOutputTokens: cells["max_output_tokens"] as number,
    deadlineMs: cells["deadline_s"] as number * MS_PER_S,
  };
}

function viewSystem(row: Row | undefined): SystemPolicy {
  const cells = withDefaults("system", row);
  return {
    queueLimit: cells["queue_limit"] as number,
    queueDeadlineMs: cells["queue_deadline_s"] as number * MS_PER_S,
    retryShare: cells["retry_share"] as number,
    policy: cells["policy"] as string,
  };
}
