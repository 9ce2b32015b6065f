/**
 * The daemon that callers connect to, and the directory that tells them where.
 *
 * @module
 */
export { Front, type FrontOptions } from "./front.ts";
export type {
  CallHead,
  Digest,
  FrontMethods,
  FrontNotices,
  Protocol,
  UpstreamRequestAttributes,
} from "./protocol.ts";
