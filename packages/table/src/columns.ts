import type { ColumnDef } from "./cell.ts";

/** Row kind. A row id has the form `kind/name`. */
export type RowKind = "caller" | "upstream" | "route" | "model" | "system";

/** All row kinds in display order. */
export const ROW_KINDS: readonly RowKind[] = [
  "caller",
  "upstream",
  "route",
  "model",
  "system",
];

/** Id of the single row of kind `system`. */
export const SYSTEM_ROW_ID = "system/main";

/** Columns of each row kind. */
export const COLUMNS: Record<RowKind, readonly ColumnDef[]> = {
  caller: [
    {
      name: "weight",
      type: "number",
      min: 0,
      max: 1_000,
      default: 1,
      help: "Share of upstream capacity relative to the other callers",
    },
    {
      name: "class",
      type: "choice",
      choices: ["foreground", "bulk"],
      default: "foreground",
      help:
        "Foreground if someone waits for the result, bulk for idle capacity",
    },
    {
      name: "max_calls",
      type: "integer",
      unit: "calls",
      min: 1,
      max: 100_000,
      default: 1_000,
      help: "Maximum concurrent calls across the fleet",
    },
    {
      name: "tokens_per_s",
      type: "integer",
      unit: "tokens/s",
      min: 1,
      max: 10_000_000,
      default: 1_000_000,
      help: "Rate limit in tokens per second across the fleet",
    },
    {
      name: "budget_tokens",
      type: "integer",
      unit: "tokens",
      min: 1,
      max: 1_000_000_000,
      default: 1_000_000,
      help: "Maximum token budget of one program",
    },
    {
      name: "turn_limit",
      type: "integer",
      unit: "calls",
      min: 1,
      max: 10_000,
      default: 100,
      help: "Maximum number of calls of one program",
    },
    {
      name: "idle_limit_s",
      type: "number",
      unit: "s",
      min: 0.1,
      max: 604_800,
      default: 3_600,
      help: "Idle time after the last call before a program is ended",
    },
    {
      name: "data_centres",
      type: "list",
      default: [],
      help: "Data centres whose upstreams the caller may use; empty for all",
    },
  ],
  upstream: [
    {
      name: "kind",
      type: "choice",
      choices: ["engine", "service"],
      help: "Model engine or other service",
    },
    {
      name: "address",
      type: "text",
      help: "host:port of the HTTP server",
    },
    {
      name: "data_centre",
      type: "text",
      help: "Data centre in which the upstream runs",
    },
    {
      name: "serves",
      type: "list",
      help: "Models served by an engine, or routes served by a service",
    },
    {
      name: "capacity",
      type: "integer",
      unit: "calls",
      min: 1,
      max: 10_000,
      default: 16,
      help: "Maximum concurrent calls without loss of performance",
    },
    {
      name: "checks_orders",
      type: "flag",
      default: false,
      help: "Whether the upstream rejects orders with a stale fencing token",
    },
    {
      name: "state",
      type: "choice",
      choices: ["active", "drained"],
      default: "active",
      help: "Whether the upstream receives new calls",
    },
  ],
  route: [
    {
      name: "idempotent",
      type: "flag",
      default: false,
      help: "Whether a call may be retried if its outcome is unknown",
    },
    {
      name: "cost_tokens",
      type: "integer",
      unit: "tokens",
      min: 0,
      max: 1_000_000,
      default: 0,
      help: "Tokens charged to the program budget per call",
    },
    {
      name: "deadline_s",
      type: "number",
      unit: "s",
      min: 0.1,
      max: 3_600,
      default: 30,
      help: "Timeout after which a call is considered hung",
    },
  ],
  model: [
    {
      name: "replicas",
      type: "integer",
      unit: "engines",
      min: 0,
      max: 10_000,
      default: 1,
      help: "Target number of engines with the model loaded",
    },
    {
      name: "weights_mb",
      type: "integer",
      unit: "MB",
      min: 1,
      max: 10_000_000,
      default: 16_000,
      help: "Size of the model weights",
    },
    {
      name: "max_output_tokens",
      type: "integer",
      unit: "tokens",
      min: 1,
      max: 1_000_000,
      default: 1_024,
      help: "Output limit of a call that does not set its own limit",
    },
    {
      name: "deadline_s",
      type: "number",
      unit: "s",
      min: 0.1,
      max: 3_600,
      default: 120,
      help: "Timeout after which a call is considered hung",
    },
  ],
  system: [
    {
      name: "queue_limit",
      type: "integer",
      unit: "calls",
      min: 1,
      max: 1_000_000,
      default: 2_000,
      help: "Maximum number of queued calls per daemon",
    },
    {
      name: "queue_deadline_s",
      type: "number",
      unit: "s",
      min: 0.1,
      max: 3_600,
      default: 30,
      help: "Maximum time that a call waits for an upstream",
    },
    {
      name: "retry_share",
      type: "number",
      min: 0,
      max: 1,
      default: 0.1,
      help: "Maximum ratio of retries to first attempts",
    },
    {
      name: "policy",
      type: "choice",
      choices: [
        "toucantrestle",
        "round_robin",
        "least_loaded",
        "sticky",
        "fcfs",
      ],
      default: "toucantrestle",
      help: "Policy for ordering calls and selecting upstreams",
    },
  ],
};

/** Returns the definition of a column, or undefined if it does not exist. */
export function findColumn(kind: RowKind, name: string): ColumnDef | undefined {
  return COLUMNS[kind].find((def) => def.name === name);
}
