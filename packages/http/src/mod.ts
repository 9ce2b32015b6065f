/**
 * HTTP server: routing, authentication by key, request body limits, problem
 * responses.
 *
 * @module
 */
export type { Principal, Role } from "./principal.ts";
export { readBody } from "./body.ts";
export { sendJson, sendProblem } from "./response.ts";
export {
  createHttpServer,
  type HttpContext,
  type HttpRoute,
  type HttpServer,
  type HttpTls,
} from "./server.ts";
