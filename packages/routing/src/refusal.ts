/** Why a request is refused before it ran. */
export type RefusalReason =
  | "no_config"
  | "no_upstream"
  | "upstreams_full"
  | "turns_unknown"
  | "convicted"
  | "stopping";

const BASE_MS: Record<RefusalReason, number> = {
  no_config: 400,
  no_upstream: 400,
  upstreams_full: 120,
  turns_unknown: 250,
  convicted: 5_000,
  stopping: 50,
};

/** Callers are spread over up to this many times the base. */
const SPREAD = 1;

/** When a refused caller should come back, in ms; `draw` is in [0, 1). */
export function retryAfterMs(reason: RefusalReason, draw: number): number {
  return Math.round(BASE_MS[reason] * (1 + SPREAD * draw));
}
