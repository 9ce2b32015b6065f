/** A call as seen by its caller, with its result. Times in ms since the epoch. */
export interface CallRecord {
  requestId: string;
  caller: string;
  program: string;
  step: number;
  kind: "chat" | "service";
  /** User message of a chat, or route of a service call. */
  content: string;
  invokedAt: number;
  completedAt: number | undefined;
  result: CallResult | undefined;
}

/** Final result of a call, as received by its caller. */
export type CallResult =
  | { kind: "answered"; text: string }
  | { kind: "failed"; verdict: string; detail: string };

/** A program as started by its caller. Budgets in tokens. */
export interface ProgramRecord {
  program: string;
  caller: string;
  budgetTokens: number;
  parent: string | undefined;
  ended: boolean;
}

/** An execution recorded by a service. */
export interface ServiceExecution {
  requestId: string;
  program: string;
  step: number;
  route: string;
  at: number;
}

/** An execution recorded by an engine. Sizes in tokens. */
export interface EngineExecution {
  engine: string;
  requestId: string;
  program: string;
  step: number;
  promptTokens: number;
  outputTokens: number;
  state: string;
}

/** A table edit as seen by its operator, with its result. */
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

/** Table revision that a daemon run had applied when it was polled. */
export interface RevisionObservation {
  runId: string;
  revision: number;
  at: number;
}

/** An edited cell of the table at the end of a run. */
export interface FinalCell {
  row: string;
  column: string;
  value: string;
}

/** All records of one scenario or chaos run, as input of the history checker. */
export interface History {
  /** Routes whose calls can safely execute more than once. */
  idempotentRoutes: string[];
  programs: ProgramRecord[];
  calls: CallRecord[];
  services: ServiceExecution[];
  engines: EngineExecution[];
  /** Programs for which an engine holds memory at the end of the run. */
  held: { engine: string; program: string }[];
  edits: EditRecord[];
  /** Accepted edits, in the order of their revisions. */
  accepted: { revision: number; writeId: string }[];
  /** Revisions reported by daemons, in polling order. */
  sightings: RevisionObservation[];
  finalCells: FinalCell[];
}

/** Returns an empty history. */
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
