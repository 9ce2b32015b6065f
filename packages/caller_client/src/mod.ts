/**
 * Client of the callers' protocol: asks where to connect, keeps the order of
 * steps, and asks again under the same request id when it is told to.
 *
 * @module
 */
export { type Attempted, CallerClient, type CallerOptions } from "./client.ts";
export { type CallAnswer, type ChatAnswer, Program } from "./program.ts";
