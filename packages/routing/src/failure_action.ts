import type { Verdict } from "@toucantrestle/verdict";
import type { Route } from "./config.ts";

/** Action to take after an upstream failed to answer a request. */
export type FailureAction =
  /** Retry the request on another upstream. */
  | "retry"
  /** Report to the caller that the request did not run, with a retry delay. */
  | "refuse"
  /** Report to the caller that the request may have run. */
  | "fail"
  /** Report to the caller that the deadline has passed. */
  | "time_out";

/** Number of upstreams that may decline a request before it is refused. */
const MAX_DECLINES = 4;
/** Minimum time left before the deadline for another attempt, in ms. */
const MIN_RETRY_TIME_MS = 30;

/** Returns whether requests of a route may run more than once. */
export function isRetrySafe(route: Route): boolean {
  return route.kind === "idempotent" || route.isResumable;
}

/** Returns whether an interrupted stream may be resumed on another upstream. */
export function canResumeStream(
  opts: {
    route: Route;
    /** Upstreams that may have run the request, not counting crashed ones. */
    runs: number;
    /** Upstreams that declined the request without running it. */
    declines: number;
    timeLeftMs: number;
  },
): boolean {
  return opts.route.isResumable &&
    opts.runs < opts.route.maxRuns &&
    opts.declines < MAX_DECLINES &&
    opts.timeLeftMs > MIN_RETRY_TIME_MS;
}

/**
 * Returns the action to take after a failed attempt, as long as no part of the
 * response has been sent to the caller.
 */
export function decideFailureAction(
  opts: {
    route: Route;
    verdict: Verdict;
    /** Upstreams that may have run the request, including this one. */
    runs: number;
    /** Upstreams that declined without running it, including this one. */
    declines: number;
    timeLeftMs: number;
  },
): FailureAction {
  const { route, runs, declines, timeLeftMs } = opts;
  const hasTime = timeLeftMs > MIN_RETRY_TIME_MS;
  if (opts.verdict === "not_run" && hasTime && declines < MAX_DECLINES) {
    return runs === 0 || runs < route.maxRuns ? "retry" : "fail";
  }
  // No run counts either if that of a crashed upstream is not counted.
  if (runs === 0 && opts.verdict === "not_run") return "refuse";
  if (!hasTime) return "time_out";
  const canRetryRun = isRetrySafe(route) && runs < route.maxRuns;
  return canRetryRun && opts.verdict !== "not_run" ? "retry" : "fail";
}
