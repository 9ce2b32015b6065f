import type { IncomingMessage } from "node:http";

/** Longest declared body that is read on and dropped after the response. */
const MAX_DROPPED_BYTES = 65_536;

/**
 * Whether the rest of a request's body is left unread, so that its connection
 * ends after the response. A short rest is dropped instead.
 */
export function isLeftUnread({ complete, headers }: IncomingMessage): boolean {
  if (complete) return false;
  if (headers["transfer-encoding"] !== undefined) return true;
  return Number(headers["content-length"] ?? 0) > MAX_DROPPED_BYTES;
}
