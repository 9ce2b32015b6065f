/**
 * Client of the callers' protocol: looks up the host to connect to, numbers
 * the steps of a program, and retries with the same request id when the
 * response permits it.
 *
 * @module
 */
export {
  CallerClient,
  type CallerClientOptions,
  type RequestAttempt,
} from "./client.ts";
export { type ChatResult, Program, type ServiceCallResult } from "./program.ts";
