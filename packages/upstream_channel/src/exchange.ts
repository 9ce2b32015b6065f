import type { Verdict } from "@toucantrestle/verdict";

/** A request to an upstream. */
export interface OutgoingRequest {
  /** Id that the response must echo, if it carries one. */
  id: string;
  method: string;
  path: string;
  /** Alternating names and values. */
  headers: string[];
  body: Uint8Array;
}

/**
 * How the end of a response body is marked (RFC 9112 section 6.3). The body of
 * `close` lasts until the upstream closes the connection.
 */
export type BodyDelimiter = "length" | "chunked" | "close";

/** Status and headers of a response. */
export interface ResponseHead {
  status: number;
  bodyDelimiter: BodyDelimiter;
  /** Alternating names and values, unchanged and in the received order. */
  rawHeaders: string[];
  /** Values by lower-case name; the last value of a repeated header. */
  headers: Map<string, string>;
}

/** Why an exchange failed. */
export interface ChannelFailure {
  reason:
    | "connect_refused"
    | "connect_timeout"
    | "connection_lost"
    | "bad_answer"
    | "cancelled";
  /** `not_run` only if no byte of the request was sent. */
  verdict: Verdict;
  /** True if the response head was delivered before the failure. */
  hasDeliveredHead: boolean;
}

/**
 * Callbacks of an exchange. The last call is either `onEnd` or `onFailure`,
 * exactly once.
 */
export interface ResponseHandlers {
  onHead(head: ResponseHead): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onFailure(failure: ChannelFailure): void;
}

/** Controls an exchange in flight; has no effect after its end. */
export interface ExchangeControl {
  /** Closes the connection. */
  cancel(): void;
  /** Stops reading, so that the upstream stops sending. */
  pause(): void;
  resume(): void;
}
