/** Pause while the other process is likely to be back soon, in ms. */
const SHORT_PAUSE_MS = 100;
/** Pause once it has been away for longer, in ms. */
const LONG_PAUSE_MS = 600;
/** A process that restarts is back within this time, in ms. */
const RESTART_MS = 5_000;

/**
 * Pause before a link is dialled again, in ms. A restart ends at an unknown
 * moment within a few seconds, so pauses stay short for as long; a host that
 * is gone for good costs little afterwards.
 */
export function redialPauseMs(downForMs: number): number {
  return downForMs < RESTART_MS ? SHORT_PAUSE_MS : LONG_PAUSE_MS;
}
