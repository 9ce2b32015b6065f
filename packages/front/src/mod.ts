/**
 * HTTP front: the daemon that callers connect to, and the directory that lists
 * the addresses of ready fronts.
 *
 * @module
 */
export { Front } from "./front.ts";
export type { FrontOptions } from "./front_options.ts";
export type {
  CallHead,
  Digest,
  FrontMethods,
  FrontNotices,
  ProcessQuery,
  Protocol,
  UpstreamRequestAttributes,
} from "./protocol.ts";
export type { StoreReading } from "./siblings/store_readers.ts";
