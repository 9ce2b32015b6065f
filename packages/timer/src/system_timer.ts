import { performance } from "node:perf_hooks";
import { callAfter, callEvery, toDelayMs, toIntervalMs } from "./delay.ts";
import { SharedTicks } from "./shared_ticks.ts";
import type { Timer } from "./timer.ts";

/** Callbacks with shorter intervals run at their exact times. */
const MIN_SHARED_INTERVAL_MS = 100;

/**
 * Creates a timer that uses the clock of the operating system. An error of a
 * callback is one that nothing handles; the other callbacks go on.
 */
export function createSystemTimer(): Timer {
  const monotonicNow = () => performance.now();
  const ticks = new SharedTicks({ monotonicNow, after: callAfter });
  return {
    now: () => Date.now(),
    monotonicNow,
    after: callAfter,
    afterAbout: (delayMs, fn) =>
      toDelayMs(delayMs) < MIN_SHARED_INTERVAL_MS
        ? callAfter(delayMs, fn)
        : ticks.add(delayMs, { intervalMs: undefined, fn }),
    every: (intervalMs, fn) =>
      toIntervalMs(intervalMs) < MIN_SHARED_INTERVAL_MS
        ? callEvery(intervalMs, fn)
        : ticks.add(intervalMs, { intervalMs, fn }),
  };
}
