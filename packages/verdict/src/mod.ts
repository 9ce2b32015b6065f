/**
 * Request verdicts, the errors that carry them, and problem responses.
 *
 * @module
 */
export type { Verdict } from "./verdict.ts";
export * from "./errors.ts";
export {
  type Problem,
  PROBLEM_CONTENT_TYPE,
  toProblem,
  toRequestError,
} from "./problem.ts";
export {
  parseDeclaredVerdict,
  parseRetryAfterMs,
  toUpstreamError,
} from "./upstream_error.ts";
