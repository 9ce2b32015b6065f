/**
 * Links between processes: typed requests and one-way notices over WebSocket,
 * encoded with msgpackr.
 *
 * @module
 */
export { LinkClient, type LinkClientOptions } from "./client.ts";
export { LinkError } from "./errors.ts";
export type {
  Hello,
  LinkMessage,
  MethodTable,
  NoticeTable,
} from "./messages.ts";
export { LinkServer, type LinkServerOptions } from "./server.ts";
