/**
 * HTTP API for operators: routes for the daemon and a client for the command
 * line.
 *
 * @module
 */
export type * from "./api.ts";
export { OPERATOR_PREFIX, operatorRoutes } from "./routes.ts";
export { pageRoutes } from "./page_routes.ts";
export { type EditInput, type EditResponse, OperatorClient } from "./client.ts";
