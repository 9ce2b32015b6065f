/** Delay while the remote process may still be restarting, in ms. */
const SHORT_DELAY_MS = 100;
/** Delay once it has been unreachable for longer than a restart, in ms. */
const LONG_DELAY_MS = 600;
/** A restarting process is reachable again within this time, in ms. */
const RESTART_WINDOW_MS = 5_000;

/**
 * Returns the delay before the next reconnection attempt, in ms. A restart
 * completes at an unknown moment within a few seconds, so the delay stays short
 * for that long. After that a longer delay keeps the cost of dialling a host
 * that has been removed low.
 */
export function redialDelayMs(downtimeMs: number): number {
  return downtimeMs < RESTART_WINDOW_MS ? SHORT_DELAY_MS : LONG_DELAY_MS;
}
