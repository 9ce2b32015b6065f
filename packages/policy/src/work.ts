/** Kind of upstream that can run a call. */
export type WorkKind = "engine" | "service";

/** Whether a user waits for the program, or it uses idle capacity only. */
export type WorkClass = "foreground" | "bulk";

/** A call that is queued for an upstream. Sizes are in tokens, times in ms. */
export interface WorkItem {
  /** Unique id of the attempt. */
  id: string;
  program: string;
  caller: string;
  kind: WorkKind;
  /** Requested model or route. */
  target: string;
  class: WorkClass;
  /** Scheduling weight of the caller. */
  weight: number;
  promptTokens: number;
  expectedOutputTokens: number;
  /** Tokens that engines have processed for the program so far. */
  attainedTokens: number;
  /** When the program was started, in ms since the epoch. */
  programStartedAt: number;
  enqueuedAt: number;
  deadlineAt: number;
  /** Upstreams that failed this call before and are not eligible for it. */
  excluded: readonly string[];
  /** Data centres whose upstreams are eligible; empty for all. */
  dataCentres: readonly string[];
}

/** Decision of the dispatcher on a call. */
export type Decision =
  | {
    kind: "start";
    work: WorkItem;
    upstream: string;
    /** Estimated prompt tokens that the upstream has cached. */
    expectedCachedTokens: number;
  }
  | { kind: "refuse"; work: WorkItem; retryAfterMs: number };
