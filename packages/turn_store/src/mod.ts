/**
 * Client and server of the replicated turn store.
 *
 * @module
 */
export {
  type Reservation,
  type ReservationArgs,
  TurnStoreClient,
  type TurnStoreClientOptions,
} from "./client.ts";
export type { RecordMethod, Relay } from "./replica_links.ts";
export type { SettleNotice, StoreMethods, StoreNotices } from "./messages.ts";
export { TurnStoreServer, type TurnStoreServerOptions } from "./server.ts";
export {
  openStoreDisk,
  StoreDisk,
  type StoreDiskOptions,
  type StoreState,
} from "./store_disk.ts";
export { TurnStore, type TurnStoreOptions } from "./turn_store.ts";
