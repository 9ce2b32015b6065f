/**
 * Links between processes: typed requests and one-way notices over WebSocket,
 * encoded with msgpackr.
 *
 * @module
 */
export { isLinkAddress } from "./address.ts";
export type { MessageLimits } from "./decode_message.ts";
export {
  LinkClient,
  type LinkClientOptions,
  type StreamControl,
  type StreamHandlers,
} from "./client.ts";
export { LinkError } from "./errors.ts";
export type {
  Hello,
  LinkMessage,
  MethodTable,
  NoticeTable,
  StreamTable,
} from "./messages.ts";
export {
  LinkServer,
  type LinkServerOptions,
  type StreamReceiver,
  type StreamServerHandlers,
} from "./server.ts";
