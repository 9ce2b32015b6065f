import type { BodyDelimiter } from "@toucantrestle/upstream_channel";

/** What an attempt received of the body of the upstream's response. */
export interface ReceivedBody {
  delimiter: BodyDelimiter;
  bytes: number;
  /** Number of complete events; 0 if the body is not an event stream. */
  events: number;
  /** Size of the incomplete event at the end, in bytes. */
  partialEventBytes: number;
}

/**
 * Returns whether an event stream whose body has ended is whole. The end of the
 * connection alone does not prove it: a run generates at least one event, so a
 * stream without any was interrupted.
 */
export function isWholeStream(received: ReceivedBody): boolean {
  if (received.partialEventBytes > 0) return false;
  return received.delimiter !== "close" || received.events > 0;
}
