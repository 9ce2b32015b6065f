/**
 * HTTP/1.1 connections to upstreams: one request at a time on each, responses
 * matched by request id, and a verdict on every failure.
 *
 * @module
 */
export type {
  BodyDelimiter,
  ChannelFailure,
  ChannelFailureReason,
  ExchangeControl,
  ExchangeSender,
  OutgoingRequest,
  ProcessDemand,
  RawResponseHead,
  ResponseHandlers,
  ResponseHead,
} from "./exchange.ts";
export { checkResponseHead, type HeadCheck } from "./response_head.ts";
export { ChannelPool, type ChannelPoolOptions } from "./channel_pool.ts";
export type { ContactListener } from "./contact.ts";
export { type Dial, dialTcp } from "./dial.ts";
export type {
  ProcessAnswer,
  ProcessIdentityOptions,
  ProcessQuestion,
} from "./process_identity.ts";
export { isListening } from "./is_listening.ts";
