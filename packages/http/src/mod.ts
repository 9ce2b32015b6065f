/**
 * HTTP server plumbing: routes, keys, bodies with a limit, problem answers.
 *
 * @module
 */
export type { Principal, Role } from "./principal.ts";
export { readBody } from "./body.ts";
export { sendJson, sendProblem } from "./answer.ts";
export {
  createHttpServer,
  type HttpContext,
  type HttpRoute,
  type HttpServer,
  type HttpTls,
} from "./server.ts";
