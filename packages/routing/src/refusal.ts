/** Reason for refusing a request that has not run. */
export type RefusalReason =
  | "no_config"
  | "no_upstream"
  | "upstreams_full"
  | "upstreams_limited"
  | "turns_unknown"
  | "origin_unknown"
  | "events_unknown"
  | "memory_full"
  | "late_body"
  | "too_many_open"
  | "suspected"
  | "convicted"
  | "over_quota"
  | "stopping";

const BASE_DELAY_MS: Record<RefusalReason, number> = {
  no_config: 400,
  no_upstream: 400,
  upstreams_full: 120,
  upstreams_limited: 120,
  turns_unknown: 250,
  origin_unknown: 250,
  events_unknown: 250,
  memory_full: 500,
  late_body: 50,
  too_many_open: 120,
  // It is known by then whether the upstreams have crashed.
  suspected: 1_000,
  convicted: 5_000,
  // The allocator's estimate is spread already.
  over_quota: 0,
  stopping: 50,
};

/** Maximum random jitter, as a multiple of the base delay. */
const MAX_JITTER = 1;

/**
 * Returns the delay after which a refused caller should retry, in ms. `draw` is
 * a random number in [0, 1) that adds jitter.
 */
export function retryAfterMs(reason: RefusalReason, draw: number): number {
  return Math.round(BASE_DELAY_MS[reason] * (1 + MAX_JITTER * draw));
}
