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
