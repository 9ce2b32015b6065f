/**
 * HTTP protocol for callers: routes, request parsing and responses.
 *
 * @module
 */
export {
  type CallerHandlers,
  callerRoutes,
  type HostLookupResult,
} from "./routes.ts";
export { generateProgramId, programIdForRequest } from "./program_ids.ts";
