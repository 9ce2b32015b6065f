/** Kind of upstream that can run a piece of work. */
export type WorkKind = "engine" | "service";

/** Whether somebody waits for the program, or it fills idle time. */
export type WorkClass = "foreground" | "bulk";

/** One call that waits for an upstream. Sizes in tokens, times in ms. */
export interface Work {
  /** Unique for each attempt. */
  id: string;
  program: string;
  caller: string;
  kind: WorkKind;
  /** Model or route. */
  target: string;
  class: WorkClass;
  /** Weight of the caller. */
  weight: number;
  promptTokens: number;
  expectedOutputTokens: number;
  /** Tokens that engines have handled for the program so far. */
  attainedTokens: number;
  /** When the program was started, in ms since the epoch. */
  programStartedAt: number;
  enqueuedAt: number;
  deadlineAt: number;
  /** Upstreams that may not run it, since they failed it before. */
  excluded: readonly string[];
  /** Data centres whose upstreams may run it; empty for all. */
  dataCentres: readonly string[];
}

/** What the dispatcher decided on a piece of work. */
export type Decision =
  | {
    kind: "start";
    work: Work;
    upstream: string;
    /** Prompt tokens believed to be cached there. */
    believedCachedTokens: number;
  }
  | { kind: "refuse"; work: Work; retryAfterMs: number };
