/** Platform calls a second that one periodic duty may take fleet-wide. */
const CALLS_PER_DUTY_PER_S = 100;

/**
 * Interval of a periodic platform call that keeps the fleet's rate bounded:
 * `baseMs` for a small fleet, longer in proportion beyond that.
 */
export function pacedIntervalMs(baseMs: number, daemons: number): number {
  return Math.max(baseMs, daemons * 1_000 / CALLS_PER_DUTY_PER_S);
}
