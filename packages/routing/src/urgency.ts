/** What the urgency of a turn depends on. */
export interface UrgencyInput {
  /** Rank of its route; 0 is the highest. */
  rank: number;
  /** Time until its program should have finished, in ms, where it is known. */
  programLeftMs: number | undefined;
  /** Least time that the turn takes, in ms. */
  leastMs: number;
}

/** Urgency of the first rank; 0 is served first, 9 last. */
const FIRST_URGENCY = 3;
const LAST_URGENCY = 9;
/** Ranks that go before a program that is late anyway. */
const LATE_STEP = 3;

/**
 * Urgency of a turn at an upstream: by rank, but what can no longer finish in
 * time goes after what can, so that a backlog does not make both late.
 */
export function urgencyOf(input: UrgencyInput): number {
  const { rank, programLeftMs, leastMs } = input;
  const isLate = programLeftMs !== undefined && programLeftMs < leastMs;
  const step = isLate ? LATE_STEP : 0;
  return Math.min(LAST_URGENCY, FIRST_URGENCY + rank + step);
}
