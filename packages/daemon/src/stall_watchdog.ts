import type { Timer } from "@toucantrestle/timer";
import { TimeoutError, type Verdict } from "@toucantrestle/verdict";

/** Watchdog for one attempt of a streamed call. */
export interface StallWatchdog {
  /** Aborts with a `TimeoutError` on a stall or a missed deadline. */
  signal: AbortSignal;
  /** Records that the engine sent output. */
  recordOutput(): void;
  cancel(): void;
}

/** An engine that sends no output for this long is considered hung. */
const STALL_TIMEOUT_MS = 10_000;
const CHECK_INTERVAL_MS = 500;

/** Aborts an attempt whose engine stalls or whose deadline has passed. */
export function startStallWatchdog(
  timer: Timer,
  deadlineAt: number,
): StallWatchdog {
  const abort = new AbortController();
  let lastOutputAt = timer.now();
  const check = timer.every(CHECK_INTERVAL_MS, () => {
    const now = timer.now();
    const hasStalled = now - lastOutputAt >= STALL_TIMEOUT_MS;
    if (!hasStalled && now < deadlineAt) return;
    const verdict: Verdict = "may_have_run";
    const message = hasStalled
      ? `the engine sent no output for ${STALL_TIMEOUT_MS} ms`
      : "the call did not finish before its deadline";
    abort.abort(new TimeoutError(message, { props: { verdict } }));
  });
  return {
    signal: abort.signal,
    recordOutput: () => {
      lastOutputAt = timer.now();
    },
    cancel: () => check.cancel(),
  };
}
