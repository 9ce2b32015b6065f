import { RequestError } from "./errors.ts";
import type { Verdict } from "./verdict.ts";

/** Media type of a problem response, as defined by RFC 9457. */
export const PROBLEM_CONTENT_TYPE = "application/problem+json";

/** Body of a problem response. Times are in milliseconds. */
export interface Problem {
  type: string;
  title: string;
  status: number;
  detail: string;
  verdict: Verdict;
  retry_after_ms?: number;
}

/**
 * Converts any thrown value to the body of a problem response. A value that is
 * not a `RequestError` is reported as an internal error, with the verdict
 * `may_have_run`.
 */
export function toProblem(err: unknown): Problem {
  if (err instanceof RequestError) return problemOfRequestError(err);
  return {
    type: "about:blank",
    title: "InternalError",
    status: 500,
    detail: "internal error: the daemon failed to handle the request",
    verdict: "may_have_run",
  };
}

/**
 * Converts the body of a problem response back to an error with the same
 * verdict, status and retry delay.
 */
export function toRequestError(problem: Problem): RequestError {
  return new RequestError(problem.detail, {
    props: {
      verdict: problem.verdict,
      status: problem.status,
      retryAfterMs: problem.retry_after_ms,
    },
  });
}

function problemOfRequestError(err: RequestError): Problem {
  const problem: Problem = {
    type: "about:blank",
    title: err.name,
    status: err.status,
    detail: err.message,
    verdict: err.verdict,
  };
  if (err.retryAfterMs !== undefined) {
    problem.retry_after_ms = Math.round(err.retryAfterMs);
  }
  return problem;
}
