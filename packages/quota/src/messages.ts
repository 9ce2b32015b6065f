/**
 * What a request is for. Tokens are kept back for the requests of programs in
 * progress, since a program is lost as a whole if one of them is refused.
 */
export type RequestKind = "continued" | "new";

/** What a front holds and wants of one organisation's tokens. */
export interface QuotaDemand {
  name: string;
  /** Tokens still held from earlier leases; the other ones were used. */
  held: number;
  /** Tokens of earlier leases that are given back unused. */
  returned: number;
  /** Tokens wanted in advance. */
  want: number;
  /** Requests of programs in progress that wait for a token. */
  waiting: number;
  /** First requests of programs that wait for a token. */
  waitingNew: number;
  /** Requests that ran on the front's own reserve since the last answer. */
  reserveUsed: number;
}

/** Request of a front to the allocator of a group of organisations. */
export interface QuotaQuery {
  group: number;
  /** Identifies the process that holds the leases, over restarts. */
  holder: string;
  /** Number of the request among those of its holder. */
  seq: number;
  /** The allocator that has answered last for this group, if any has. */
  answeredBy: string | undefined;
  demands: QuotaDemand[];
}

/** Tokens of one organisation that are granted. */
export interface QuotaGrant {
  name: string;
  /** Tokens granted in advance, as a lease. */
  leased: number;
  /** Tokens for waiting requests, by their kind; to be used at once. */
  direct: Record<RequestKind, number>;
  /** Whether the remaining tokens are kept for programs in progress. */
  isLow: boolean;
  /**
   * Whether the allocator has begun so recently that a request should wait
   * rather than be refused.
   */
  isStarting: boolean;
  /** Time until a denied request may be granted, by its kind, in ms. */
  waitMs: Record<RequestKind, number>;
}

/** Answer to a `QuotaQuery`. */
export type QuotaReply =
  | { isAllocator: true; allocator: string; grants: QuotaGrant[] }
  | { isAllocator: false };
