import type { Timer } from "@toucantrestle/timer";
import { TimeoutError, type Verdict } from "@toucantrestle/verdict";

/** Watch over one try of a streamed call. */
export interface StallWatch {
  /** Aborts with a `TimeoutError` when the engine stalls. */
  signal: AbortSignal;
  /** Notes that output came. */
  touch(): void;
  cancel(): void;
}

/** An engine that sends nothing for this long has hung. */
const STALL_LIMIT_MS = 10_000;
const CHECK_MS = 500;

/** Aborts a try whose engine sends nothing, or whose deadline is over. */
export function watchForStall(timer: Timer, deadlineAt: number): StallWatch {
  const abort = new AbortController();
  let touchedAt = timer.now();
  const check = timer.every(CHECK_MS, () => {
    const now = timer.now();
    const hasStalled = now - touchedAt >= STALL_LIMIT_MS;
    if (!hasStalled && now < deadlineAt) return;
    const verdict: Verdict = "may_have_run";
    const message = hasStalled
      ? "the engine sent nothing for too long"
      : "the call did not end before its deadline";
    abort.abort(new TimeoutError(message, { props: { verdict } }));
  });
  return {
    signal: abort.signal,
    touch: () => {
      touchedAt = timer.now();
    },
    cancel: () => check.cancel(),
  };
}
