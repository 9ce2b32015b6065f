/** Input of {@link urgencyOf}. */
export interface UrgencyInput {
  /** Priority rank of the organisation or else the route; 0 is the highest. */
  rank: number;
  /** Time left until the program's target finish time, in ms, if it has one. */
  programLeftMs: number | undefined;
  /** Minimum duration of the turn, in ms. */
  minDurationMs: number;
}

const HIGHEST_URGENCY = 0;
/** Urgency of rank 0. Upstreams serve urgency 0 first and 9 last. */
const BASE_URGENCY = 3;
const LOWEST_URGENCY = 9;
/** Number of ranks by which a turn that cannot finish in time is demoted. */
const LATE_PENALTY = 3;

/**
 * Returns the urgency of a turn at an upstream. Turns are ordered by rank, but
 * one that can no longer finish in time is demoted behind those that can, so that
 * a backlog does not make both late.
 */
export function urgencyOf(input: UrgencyInput): number {
  const { rank, programLeftMs, minDurationMs } = input;
  const isLate = programLeftMs !== undefined && programLeftMs < minDurationMs;
  const penalty = isLate ? LATE_PENALTY : 0;
  const urgency = Math.round(BASE_URGENCY + rank + penalty);
  return Math.max(HIGHEST_URGENCY, Math.min(LOWEST_URGENCY, urgency));
}
