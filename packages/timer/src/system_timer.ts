import { performance } from "node:perf_hooks";
import { SharedTicks } from "./shared_ticks.ts";
import type { Subscription, Timer } from "./timer.ts";

/** Callbacks with shorter intervals run at their exact times. */
const MIN_SHARED_INTERVAL_MS = 100;

/** Creates a timer that uses the clock of the operating system. */
export function createSystemTimer(): Timer {
  const monotonicNow = () => performance.now();
  const ticks = new SharedTicks({ monotonicNow, after });
  return {
    now: () => Date.now(),
    monotonicNow,
    after,
    afterAbout: (delayMs, fn) =>
      delayMs < MIN_SHARED_INTERVAL_MS
        ? after(delayMs, fn)
        : ticks.add(delayMs, { intervalMs: undefined, fn }),
    every: (intervalMs, fn) =>
      intervalMs < MIN_SHARED_INTERVAL_MS
        ? every(intervalMs, fn)
        : ticks.add(intervalMs, { intervalMs, fn }),
  };
}

function after(delayMs: number, fn: () => void): Subscription {
  const handle = setTimeout(fn, delayMs);
  return { cancel: () => clearTimeout(handle) };
}

function every(intervalMs: number, fn: () => void): Subscription {
  const handle = setInterval(fn, intervalMs);
  return { cancel: () => clearInterval(handle) };
}
