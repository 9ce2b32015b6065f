import type { Verdict } from "@toucantrestle/verdict";
import type { Route } from "./config.ts";

/** What to do after an upstream did not answer a request. */
export type AfterFailure =
  /** Send it to another upstream. */
  | "retry"
  /** Tell the caller that it has not run, and when to come back. */
  | "refuse"
  /** Tell the caller that it may have run. */
  | "fail"
  /** Tell the caller that the time is over. */
  | "time_out";

/** Upstreams that may decline a request before the caller is told. */
const MAX_DECLINES = 4;
/** Less time than this is not worth another upstream, in ms. */
const MIN_TIME_LEFT_MS = 30;

/** Whether requests of a route may run more than once. */
export function mayRepeat(route: Route): boolean {
  return route.kind === "idempotent" || route.isResumable;
}

/** Whether a stream that broke off may go on at another upstream. */
export function mayResume(
  opts: {
    route: Route;
    /** Upstreams on which it may have run, without those that have ended. */
    runs: number;
    /** Upstreams that did not run it. */
    declines: number;
    timeLeftMs: number;
  },
): boolean {
  return opts.route.isResumable &&
    opts.runs < opts.route.maxRuns &&
    opts.declines < MAX_DECLINES &&
    opts.timeLeftMs > MIN_TIME_LEFT_MS;
}

/** Decides after a failed attempt, before anything of it reached the caller. */
export function afterFailure(
  opts: {
    route: Route;
    verdict: Verdict;
    /** Upstreams on which it may have run, this one counted. */
    runs: number;
    /** Upstreams that did not run it, this one counted. */
    declines: number;
    timeLeftMs: number;
  },
): AfterFailure {
  const { route, runs, declines, timeLeftMs } = opts;
  const hasTime = timeLeftMs > MIN_TIME_LEFT_MS;
  if (opts.verdict === "not_run" && hasTime && declines < MAX_DECLINES) {
    return runs === 0 || runs < route.maxRuns ? "retry" : "fail";
  }
  if (runs === 0) return "refuse";
  if (!hasTime) return "time_out";
  const canRepeat = mayRepeat(route) && runs < route.maxRuns;
  return canRepeat && opts.verdict !== "not_run" ? "retry" : "fail";
}
