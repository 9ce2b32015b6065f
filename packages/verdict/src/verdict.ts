/**
 * What is known about whether a request ran on its upstream.
 *
 * - `not_run`: no byte of it can have reached an upstream, or the upstream
 *   itself said that it did not run.
 * - `may_have_run`: it was sent, and its outcome is unknown.
 * - `ran`: it ran, and the answer says with which result.
 */
export type Verdict = "not_run" | "may_have_run" | "ran";
