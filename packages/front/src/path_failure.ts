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
  | "relay_refused";

/** Failure of an exchange with an upstream. */
export type PathFailure = ChannelFailure<PathFailureReason>;
