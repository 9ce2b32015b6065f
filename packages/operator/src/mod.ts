/**
 * Operators' HTTP protocol: routes for the daemon, client for the command
 * line.
 *
 * @module
 */
export type * from "./api.ts";
export { OPERATOR_PREFIX, operatorRoutes } from "./routes.ts";
export { pageRoutes } from "./page_routes.ts";
export { type EditAnswer, type EditInput, OperatorClient } from "./client.ts";
