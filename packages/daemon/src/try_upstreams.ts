import { RequestError, type Verdict } from "@toucantrestle/verdict";
import type { Placement } from "./dispatch_desk.ts";
import { isRelocated } from "./errors.ts";

/** How a call is tried on several upstreams. */
export interface TryPlan<T> {
  first: Placement;
  maxTries: number;
  /** Runs the call on one upstream. */
  runOnce(placement: Placement): Promise<T>;
  /** Whether the call may be sent again after a failure. */
  mayRetry(err: unknown): boolean;
  /** Notes the failure of an upstream that will not be tried again. */
  noteFailure(placement: Placement, err: unknown): void;
  /** Finds another upstream. */
  placeAgain(): Promise<Placement>;
}

/**
 * Tries a call on one upstream after another. The verdict of the failure that
 * is thrown covers all tries: one that may have run is never forgotten.
 *
 * @throws {RequestError} of the last try
 */
export async function tryUpstreams<T>(plan: TryPlan<T>): Promise<T> {
  let placement = plan.first;
  let mayHaveRun = false;
  for (let tries = 1;; tries++) {
    try {
      return await plan.runOnce(placement);
    } catch (err) {
      mayHaveRun ||= !isUnsent(err);
      if (isRelocated(err)) throw err;
      const isLast = tries >= plan.maxTries || !plan.mayRetry(err);
      if (isLast) throw withVerdict(err, mayHaveRun);
      plan.noteFailure(placement, err);
      placement = await plan.placeAgain().catch(() => {
        throw withVerdict(err, mayHaveRun);
      });
    }
  }
}

/** Tells whether an error leaves no doubt that nothing ran. */
export function isUnsent(err: unknown): boolean {
  return err instanceof RequestError && err.verdict === "not_run";
}

/** The same error, which admits that an earlier try may have run. */
export function withVerdict(err: unknown, mayHaveRun: boolean): unknown {
  if (!mayHaveRun || !isUnsent(err)) return err;
  const { message, status, retryAfterMs } = err as RequestError;
  const verdict: Verdict = "may_have_run";
  return new RequestError(message, {
    props: { verdict, status, retryAfterMs },
  });
}
