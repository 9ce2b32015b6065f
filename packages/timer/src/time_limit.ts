import type { Subscription, Timer } from "./timer.ts";

/** A signal that aborts after a delay, unless it is cancelled before. */
export interface TimeLimit extends Subscription {
  readonly signal: AbortSignal;
}

/**
 * Starts a time limit of any length, unlike `AbortSignal.timeout`, which takes
 * whole numbers only. It keeps the process running until it is cancelled.
 *
 * @throws {RangeError} if the delay is no number
 */
export function startTimeLimit(timer: Timer, delayMs: number): TimeLimit {
  const abort = new AbortController();
  const timeout = timer.after(delayMs, () => {
    const message = `the time limit of ${delayMs} ms is over`;
    abort.abort(new DOMException(message, "TimeoutError"));
  });
  return { signal: abort.signal, cancel: () => timeout.cancel() };
}
