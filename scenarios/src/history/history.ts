/** A call as its caller made it and what it was told. Times in ms. */
export interface CallRecord {
  requestId: string;
  caller: string;
  program: string;
  step: number;
  kind: "chat" | "service";
  /** Message of a chat, route of a service call. */
  content: string;
  invokedAt: number;
  completedAt: number | undefined;
  result: CallResult | undefined;
}

/** What a caller was told in the end. */
export type CallResult =
  | { kind: "answered"; text: string }
  | { kind: "failed"; verdict: string; detail: string };

/** A program as its caller started it. Budgets in tokens. */
export interface ProgramRecord {
  program: string;
  caller: string;
  budgetTokens: number;
  parent: string | undefined;
  ended: boolean;
}

/** An execution that a service recorded. */
export interface ServiceExecution {
  requestId: string;
  program: string;
  step: number;
  route: string;
  at: number;
}

/** An execution that an engine recorded. Sizes in tokens. */
export interface EngineExecution {
  engine: string;
  requestId: string;
  program: string;
  step: number;
  promptTokens: number;
  outputTokens: number;
  state: string;
}

/** An edit as its operator made it and what was said. */
export interface EditRecord {
  writeId: string;
  row: string;
  column: string;
  value: string;
  result:
    | { kind: "accepted"; revision: number }
    | { kind: "refused"; detail: string }
    | { kind: "unknown" }
    | undefined;
}

/** Revision that a run of a daemon had in force at some time. */
export interface RevisionSighting {
  runId: string;
  revision: number;
  at: number;
}

/** A cell of the final table. */
export interface FinalCell {
  row: string;
  column: string;
  value: string;
}

/** Everything that was recorded of one run. */
export interface History {
  /** Routes whose calls may run more than once. */
  idempotentRoutes: string[];
  programs: ProgramRecord[];
  calls: CallRecord[];
  services: ServiceExecution[];
  engines: EngineExecution[];
  /** Programs for which an engine holds memory in the end. */
  held: { engine: string; program: string }[];
  edits: EditRecord[];
  /** Accepted edits in the order of their revisions. */
  accepted: { revision: number; writeId: string }[];
  sightings: RevisionSighting[];
  finalCells: FinalCell[];
}

/** An empty history. */
export function createHistory(): History {
  return {
    idempotentRoutes: [],
    programs: [],
    calls: [],
    services: [],
    engines: [],
    held: [],
    edits: [],
    accepted: [],
    sightings: [],
    finalCells: [],
  };
}
