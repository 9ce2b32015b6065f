import type { Verdict } from "@toucantrestle/verdict";

/** A request to an upstream. */
export interface OutgoingRequest {
  /** Id that the response must echo. */
  id: string;
  /** Whether a response that echoes no id is the one to this request, too. */
  mayLackId?: boolean;
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

/** Status and headers of a response as the upstream sent them. */
export type RawResponseHead = Pick<ResponseHead, "status" | "rawHeaders">;

/** Why an exchange over a connection to the upstream failed. */
export type ChannelFailureReason =
  | "connect_refused"
  | "connect_timeout"
  | "connection_lost"
  | "bad_answer"
  /** The request waited for a connection and was not to be sent any more. */
  | "not_wanted"
  /** Another process than the expected one answers. */
  | "other_process"
  /** The upstream does not say which process answers. */
  | "unknown_process"
  | "cancelled";

/** Failure of an exchange; `R` are the possible reasons. */
export interface ChannelFailure<R extends string = ChannelFailureReason> {
  reason: R;
  /** `not_run` only if no byte of the request was sent. */
  verdict: Verdict;
  /** True if the response head was delivered before the failure. */
  hasDeliveredHead: boolean;
}

/**
 * Callbacks of an exchange. The last call is either `onEnd` or `onFailure`,
 * exactly once.
 */
export interface ResponseHandlers<R extends string = ChannelFailureReason> {
  onHead(head: ResponseHead): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onFailure(failure: ChannelFailure<R>): void;
}

/** Which process may get a request: any, or only one that has proved its identity. */
export type ProcessDemand = "any" | "proven";

/** Sends requests to one upstream. */
export interface ExchangeSender<R extends string = ChannelFailureReason> {
  send(
    req: OutgoingRequest,
    handlers: ResponseHandlers<R>,
    demand?: ProcessDemand,
  ): ExchangeControl;
}

/** Controls an exchange in flight; has no effect after its end. */
export interface ExchangeControl {
  /** Closes the connection. */
  cancel(): void;
  /** Stops reading, so that the upstream stops sending. */
  pause(): void;
  resume(): void;
}
