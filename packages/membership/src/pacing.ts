/**
 * Limit for the calls per second that one periodic task of all daemons together
 * may make to the platform.
 */
const MAX_FLEET_CALLS_PER_S = 100;

/**
 * Returns the interval in milliseconds of a periodic platform call, such that
 * the call rate of the fleet stays bounded: `baseMs` for a small fleet, and an
 * interval proportional to the number of daemons for a large one.
 */
export function pacedIntervalMs(baseMs: number, daemons: number): number {
  return Math.max(baseMs, daemons * 1_000 / MAX_FLEET_CALLS_PER_S);
}
