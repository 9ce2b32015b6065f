import type { Protocol } from "@toucantrestle/front";
import type { RoutingConfig, UpstreamEntry } from "@toucantrestle/routing";

/** Header that identifies a request; upstreams echo it. */
export const REQUEST_ID = "request-id";
/** Header that marks the responses of upstreams. */
export const UPSTREAM_MARK = "upstream-mark";
const TIME_LEFT = "time-left-ms";
const UPSTREAM = "upstream-id";
/** Size of the prompt that streams are sent with, in tokens. */
const PROMPT_TOKENS = 3_000;

/** Protocol with the headers that the benchmark needs, and JSON entries. */
export const benchProtocol: Protocol = {
  directoryPath: "/directory",
  readyPath: "/ready",
  configKey: "config",
  upstreamPrefix: "upstreams/",
  parseHead(headers) {
    const id = headers[REQUEST_ID];
    if (typeof id !== "string") return undefined;
    return {
      id,
      timeLeftMs: undefined,
      program: undefined,
      session: undefined,
      programTimeLeftMs: undefined,
      tokenBudget: undefined,
      promptTokens: PROMPT_TOKENS,
      maxOutputTokens: undefined,
      expectedOutputTokens: undefined,
      promptParts: [],
      previousTurn: undefined,
      lastEventId: undefined,
      resumedRequest: undefined,
      affinityKey: undefined,
    };
  },
  parseKey: () => undefined,
  isReservedHeader: (name) => name === TIME_LEFT || name === UPSTREAM,
  isIdentityHeader: () => false,
  formatUpstreamHeaders: ({ timeLeftMs, upstreamId }) => [
    TIME_LEFT,
    String(timeLeftMs),
    UPSTREAM,
    upstreamId,
  ],
  echoedRequestId: (head) => head.headers.get(REQUEST_ID),
  isDeclined: () => false,
  hasUpstreamMark: (head) => head.headers.has(UPSTREAM_MARK),
  parseNotice: () => ({ maxRequestsPerS: undefined, isLeaving: false }),
  processQueries: [],
  formatDirectoryResponse: (response) => JSON.stringify(response),
  parseConfig: (text) => JSON.parse(text) as RoutingConfig,
  parseUpstream: (_key, text) => JSON.parse(text) as UpstreamEntry,
};
