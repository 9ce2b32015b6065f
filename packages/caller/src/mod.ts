/**
 * HTTP protocol for callers: routes, request parsing and responses.
 *
 * @module
 */
export {
  type CallerHandlers,
  callerRoutes,
  type WhereAnswer,
} from "./routes.ts";
export { generateProgramId, programIdForRequest } from "./program_ids.ts";
