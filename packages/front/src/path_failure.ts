import type {
  ChannelFailure,
  ChannelFailureReason,
} from "@toucantrestle/upstream_channel";

/** Why an exchange with an upstream failed, directly or through a sibling. */
export type PathFailureReason =
  | ChannelFailureReason
  /** The way to all upstreams is cut; this one may be well. */
  | "path_lost"
  /** The sibling that forwarded the exchange was lost. */
  | "relay_lost"
  /** The sibling does not forward the exchange. */
  | "relay_refused"
  /** The stream brings clearly more than was asked for. */
  | "beyond_request"
  /** Only the end of the caller's connection could end the body. */
  | "end_unmarked";

/** Failure of an exchange with an upstream. */
export type PathFailure = ChannelFailure<PathFailureReason>;

/** Failures of the way from here, which say nothing about an upstream. */
const OWN_PATH_REASONS: ReadonlySet<PathFailureReason> = new Set([
  "path_lost",
  "relay_lost",
  "relay_refused",
]);

const CONNECT_REASONS: ReadonlySet<PathFailureReason> = new Set([
  "connect_refused",
  "connect_timeout",
]);

const UNPROVEN_REASONS: ReadonlySet<PathFailureReason> = new Set([
  "other_process",
  "unknown_process",
]);

/** Whether the request was not sent as its process could not be proven. */
export function isUnproven({ reason }: PathFailure): boolean {
  return UNPROVEN_REASONS.has(reason);
}

/** Whether a failure says nothing about the upstream. */
export function isOwnPathFailure({ reason }: PathFailure): boolean {
  return OWN_PATH_REASONS.has(reason);
}

/** Whether no connection to the upstream could be established. */
export function isConnectFailure({ reason }: PathFailure): boolean {
  return CONNECT_REASONS.has(reason);
}

/** Whether the upstream may have crashed while it ran the request. */
export function mayHaveCrashed({ reason, verdict }: PathFailure): boolean {
  return reason === "connection_lost" && verdict === "may_have_run";
}
