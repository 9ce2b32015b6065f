/**
 * Client and server of the replicated turn records.
 *
 * @module
 */
export {
  type RecordMethod,
  type Relay,
  type Reservation,
  TurnStoreClient,
  type TurnStoreClientOptions,
} from "./client.ts";
export type { SettleNotice, StoreMethods, StoreNotices } from "./messages.ts";
export { TurnStoreServer, type TurnStoreServerOptions } from "./server.ts";
