import type { CellDef } from "./cell.ts";

/** Kind of row. A row's id is its kind, a slash and its name. */
export type RowKind = "caller" | "upstream" | "route" | "model" | "system";

/** Kinds of row in the order in which they are shown. */
export const ROW_KINDS: readonly RowKind[] = [
  "caller",
  "upstream",
  "route",
  "model",
  "system",
];

/** Name of the one row of kind `system`. */
export const SYSTEM_ROW = "system/main";

/** Columns of each kind of row. */
export const COLUMNS: Record<RowKind, readonly CellDef[]> = {
  caller: [
    {
      name: "weight",
      type: "number",
      min: 0,
      max: 1_000,
      default: 1,
      help: "Share of the upstreams against the other callers",
    },
    {
      name: "class",
      type: "choice",
      choices: ["foreground", "bulk"],
      default: "foreground",
      help: "Whether somebody waits for the program, or it fills idle time",
    },
    {
      name: "max_calls",
      type: "integer",
      unit: "calls",
      min: 1,
      max: 100_000,
      default: 1_000,
      help: "Calls in progress at once over the whole fleet",
    },
    {
      name: "tokens_per_s",
      type: "integer",
      unit: "tokens/s",
      min: 1,
      max: 10_000_000,
      default: 1_000_000,
      help: "Tokens a second over the whole fleet",
    },
    {
      name: "budget_tokens",
      type: "integer",
      unit: "tokens",
      min: 1,
      max: 1_000_000_000,
      default: 1_000_000,
      help: "Largest budget of one program",
    },
    {
      name: "turn_limit",
      type: "integer",
      unit: "calls",
      min: 1,
      max: 10_000,
      default: 100,
      help: "Calls that one program may make",
    },
    {
      name: "idle_limit_s",
      type: "number",
      unit: "s",
      min: 0.1,
      max: 604_800,
      default: 3_600,
      help: "Time after its last call at which a program is ended",
    },
    {
      name: "data_centres",
      type: "list",
      default: [],
      help: "Data centres whose upstreams it may use; empty for all",
    },
  ],
  upstream: [
    {
      name: "kind",
      type: "choice",
      choices: ["engine", "service"],
      help: "Model engine or plain service",
    },
    {
      name: "address",
      type: "text",
      help: "host:port of its HTTP server",
    },
    {
      name: "data_centre",
      type: "text",
      help: "Data centre it stands in",
    },
    {
      name: "serves",
      type: "list",
      help: "Models of an engine, or routes of a service",
    },
    {
      name: "capacity",
      type: "integer",
      unit: "calls",
      min: 1,
      max: 10_000,
      default: 16,
      help: "Calls that it runs well at once",
    },
    {
      name: "checks_orders",
      type: "flag",
      default: false,
      help: "Whether it refuses orders that carry an old fencing number",
    },
    {
      name: "state",
      type: "choice",
      choices: ["active", "drained"],
      default: "active",
      help: "Whether it gets new work",
    },
  ],
  route: [
    {
      name: "idempotent",
      type: "flag",
      default: false,
      help: "Whether a call may be sent again when its outcome is unknown",
    },
    {
      name: "cost_tokens",
      type: "integer",
      unit: "tokens",
      min: 0,
      max: 1_000_000,
      default: 0,
      help: "What one call takes from its program's budget",
    },
    {
      name: "deadline_s",
      type: "number",
      unit: "s",
      min: 0.1,
      max: 3_600,
      default: 30,
      help: "Time after which a call counts as hung",
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
      help: "Engines that should have the model loaded",
    },
    {
      name: "weights_mb",
      type: "integer",
      unit: "MB",
      min: 1,
      max: 10_000_000,
      default: 16_000,
      help: "Size of the weights",
    },
    {
      name: "max_output_tokens",
      type: "integer",
      unit: "tokens",
      min: 1,
      max: 1_000_000,
      default: 1_024,
      help: "Output of a call that names no limit of its own",
    },
    {
      name: "deadline_s",
      type: "number",
      unit: "s",
      min: 0.1,
      max: 3_600,
      default: 120,
      help: "Time after which a call counts as hung",
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
      help: "Calls that one daemon lets wait",
    },
    {
      name: "queue_deadline_s",
      type: "number",
      unit: "s",
      min: 0.1,
      max: 3_600,
      default: 30,
      help: "Longest wait of a call for an upstream",
    },
    {
      name: "retry_share",
      type: "number",
      min: 0,
      max: 1,
      default: 0.1,
      help: "Retries as a share of first tries",
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
      help: "How calls are ordered and upstreams chosen",
    },
  ],
};

/** Finds the definition of a column. */
export function findColumn(kind: RowKind, name: string): CellDef | undefined {
  return COLUMNS[kind].find((def) => def.name === name);
}
