/**
 * Whether a request was executed by its upstream, as far as is known.
 *
 * - `not_run`: no byte of the request can have reached an upstream, or the
 *   upstream itself reported that it did not execute the request.
 * - `may_have_run`: the request was sent and its outcome is unknown.
 * - `ran`: the request was executed; the response contains the result.
 */
export type Verdict = "not_run" | "may_have_run" | "ran";
