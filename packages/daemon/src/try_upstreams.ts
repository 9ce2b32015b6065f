import { RequestError, type Verdict } from "@toucantrestle/verdict";
import type { Placement } from "./placement_queue.ts";
import { isRelocated } from "./errors.ts";

/** Describes how a call is attempted on several upstreams. */
export interface AttemptPlan<T> {
  first: Placement;
  maxAttempts: number;
  /** Runs the call on one upstream. */
  runOnce(placement: Placement): Promise<T>;
  /** Whether the call may be retried after a failure. */
  mayRetry(err: unknown): boolean;
  /** Records the failure of an upstream, which gets no further attempt. */
  recordFailure(placement: Placement, err: unknown): void;
  /** Waits for a placement on another upstream. */
  placeRetry(): Promise<Placement>;
}

/**
 * Attempts a call on one upstream after another. The verdict of the error that
 * is thrown covers all attempts: it is `may_have_run` if any of them may have
 * run.
 *
 * @throws {RequestError} the error of the last attempt
 */
export async function tryUpstreams<T>(plan: AttemptPlan<T>): Promise<T> {
  let placement = plan.first;
  let mayHaveRun = false;
  for (let attempts = 1;; attempts++) {
    try {
      return await plan.runOnce(placement);
    } catch (err) {
      mayHaveRun ||= !hasNotRunVerdict(err);
      if (isRelocated(err)) throw err;
      const isLast = attempts >= plan.maxAttempts || !plan.mayRetry(err);
      if (isLast) throw withMayHaveRunVerdict(err, mayHaveRun);
      plan.recordFailure(placement, err);
      placement = await plan.placeRetry().catch(() => {
        throw withMayHaveRunVerdict(err, mayHaveRun);
      });
    }
  }
}

/** Whether an error has the verdict `not_run`: the call has certainly not run. */
export function hasNotRunVerdict(err: unknown): boolean {
  return err instanceof RequestError && err.verdict === "not_run";
}

/**
 * Returns how long an upstream gets no calls after a failure: `downMs`, or
 * longer if it says so itself. Times in ms.
 */
export function downTimeMs(err: unknown, downMs: number): number {
  const retryAfterMs = err instanceof RequestError ? err.retryAfterMs : 0;
  return Math.max(downMs, retryAfterMs ?? 0);
}

/**
 * Returns the error with the verdict `may_have_run` instead of `not_run` if an
 * earlier attempt may have run.
 */
export function withMayHaveRunVerdict(
  err: unknown,
  mayHaveRun: boolean,
): unknown {
  if (!mayHaveRun || !hasNotRunVerdict(err)) return err;
  const { message, status, retryAfterMs } = err as RequestError;
  const verdict: Verdict = "may_have_run";
  return new RequestError(message, {
    props: { verdict, status, retryAfterMs },
  });
}
