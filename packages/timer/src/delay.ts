import type { Subscription } from "./timer.ts";

/** Longest delay that the runtime's timers take, in ms; a longer one is over at once. */
export const MAX_RUNTIME_DELAY_MS = 2 ** 31 - 1;
const MIN_INTERVAL_MS = 1;

/**
 * Returns a delay in ms that a timer can take: negative ones count as 0.
 *
 * @throws {RangeError} if it is no number
 */
export function toDelayMs(delayMs: number): number {
  if (Number.isNaN(delayMs)) throw new RangeError("a delay is no number");
  return Math.max(0, delayMs);
}

/**
 * Returns an interval in ms that a timer can take: at least a millisecond.
 *
 * @throws {RangeError} if it is no number
 */
export function toIntervalMs(intervalMs: number): number {
  return Math.max(MIN_INTERVAL_MS, toDelayMs(intervalMs));
}

/**
 * Returns a time in ms for an API of the runtime, such as the timeout of a
 * socket: a whole number, not shorter than the time, of at most
 * `MAX_RUNTIME_DELAY_MS`.
 *
 * @throws {RangeError} if it is no number
 */
export function toRuntimeDelayMs(delayMs: number): number {
  return Math.min(MAX_RUNTIME_DELAY_MS, Math.ceil(toDelayMs(delayMs)));
}

/** Calls `fn` once after a delay of any length; fractions of a ms are rounded up. */
export function callAfter(delayMs: number, fn: () => void): Subscription {
  let leftMs = toDelayMs(delayMs);
  let handle: NodeJS.Timeout;
  function startStep(): void {
    const stepMs = toRuntimeDelayMs(leftMs);
    leftMs -= stepMs;
    handle = setTimeout(leftMs > 0 ? startStep : fn, stepMs);
  }
  startStep();
  return { cancel: () => clearTimeout(handle) };
}

/** Calls `fn` each interval of up to `MAX_RUNTIME_DELAY_MS`. */
export function callEvery(intervalMs: number, fn: () => void): Subscription {
  const handle = setInterval(fn, toRuntimeDelayMs(toIntervalMs(intervalMs)));
  return { cancel: () => clearInterval(handle) };
}
