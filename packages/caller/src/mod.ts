/**
 * Callers' HTTP protocol: routes, request parsing, answers.
 *
 * @module
 */
export {
  type CallerHandlers,
  callerRoutes,
  type WhereAnswer,
} from "./routes.ts";
export { newProgramId, programOfRequest } from "./program_ids.ts";
