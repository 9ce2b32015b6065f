import { performance } from "node:perf_hooks";
import type { Subscription, Timer } from "./timer.ts";

/** Creates a timer that uses the clock of the operating system. */
export function createSystemTimer(): Timer {
  return {
    now: () => Date.now(),
    monotonicNow: () => performance.now(),
    after,
    every,
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
