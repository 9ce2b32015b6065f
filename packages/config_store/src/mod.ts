/**
 * Client of the platform's key-value service: compare-and-swap, leases and
 * watches over the public HTTP/JSON protocol of etcd v3.
 *
 * @module
 */
export type * from "./store.ts";
export { StoreError } from "./errors.ts";
export { HttpStore, type HttpStoreOptions } from "./http_store.ts";
export { MemoryStore } from "./memory_store.ts";
export { prefixEnd } from "./wire.ts";
export { listAndWatch, type ListAndWatchOptions } from "./list_and_watch.ts";
