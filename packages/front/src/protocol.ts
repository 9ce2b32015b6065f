import type { FleetSnapshot } from "@toucantrestle/fleet";
import type { GossipMessage } from "@toucantrestle/overlay";
import type { QuotaQuery, QuotaReply } from "@toucantrestle/quota";
import type {
  PermitRequest,
  PromptPart,
  ReportedLoad,
  RoutingConfig,
  UpstreamEntry,
  UpstreamNotice,
  UpstreamProcess,
} from "@toucantrestle/routing";
import type { RecordMethod, SettleNotice } from "@toucantrestle/turn_store";
import type { ResponseHead } from "@toucantrestle/upstream_channel";
import type { IncomingHttpHeaders } from "node:http";
import type { SharedNotice } from "./shared_notice.ts";

/** Parsed headers of a caller's request. Times in ms. */
export interface CallHead {
  /** Id of this request. */
  id: string;
  /** How long the caller waits; undefined if not stated. */
  timeLeftMs: number | undefined;
  program: string | undefined;
  /** Sequence of consecutive turns within the program. */
  session: string | undefined;
  /** Time left until the target finish time of the program. */
  programTimeLeftMs: number | undefined;
  /** Output tokens that all turns of the program together may spend. */
  tokenBudget: number | undefined;
  promptTokens: number | undefined;
  maxOutputTokens: number | undefined;
  /** Caller's estimate of the output tokens. */
  expectedOutputTokens: number | undefined;
  promptParts: PromptPart[];
  /** Id of the turn that this one continues. */
  previousTurn: string | undefined;
  /** Id of the event after which to resume a stream. */
  lastEventId: string | undefined;
  /** Id of the request that brought the first event of the resumed stream. */
  resumedRequest: string | undefined;
  affinityKey: string | undefined;
}

/** Values that this front sends to an upstream in request headers. */
export interface UpstreamRequestAttributes {
  timeLeftMs: number;
  /** Id of the only upstream that may run the request. */
  upstreamId: string;
  /** Scheduling priority: 0 is served first, 9 last. */
  urgency: number | undefined;
  /** Name of the organisation that sends the request, if it is known. */
  organisation: string | undefined;
}

/** A query whose answer may name the process of an upstream. */
export interface ProcessQuery {
  path: string;
  /** Returns the headers for an upstream, as alternating names and values. */
  formatHeaders(upstreamId: string): string[];
  /** Parses an answer; undefined if it is invalid. */
  parse(text: string): { name: string | undefined } | undefined;
}

/**
 * Protocol of callers and upstreams: names and semantics of headers, paths and
 * store keys. Implemented by an adapter.
 */
export interface Protocol {
  /** Path of directory queries. */
  directoryPath: string;
  /** Path of readiness probes. */
  readyPath: string;
  /** Parses the request headers; undefined if the request id is missing. */
  parseHead(headers: IncomingHttpHeaders): CallHead | undefined;
  /** Returns the caller's API key; undefined if it is missing. */
  parseKey(headers: IncomingHttpHeaders): string | undefined;
  /** Whether a header, in lower case, must not be forwarded from a caller. */
  isReservedHeader(name: string): boolean;
  /**
   * Whether a header, in lower case, holds the caller's key or says which
   * organisation it belongs to. Not forwarded if organisations are configured.
   */
  isIdentityHeader(name: string): boolean;
  /** Returns the headers for these values, as alternating names and values. */
  formatUpstreamHeaders(attributes: UpstreamRequestAttributes): string[];
  /** Returns the request id that a response echoes. */
  echoedRequestId(head: ResponseHead): string | undefined;
  /** Whether a response states that its request did not run. */
  isDeclined(head: ResponseHead): boolean;
  /** Whether a response carries the mark of an upstream. */
  hasUpstreamMark(head: ResponseHead): boolean;
  /** Parses what an upstream says about itself in the head of a response. */
  parseNotice(head: ResponseHead): UpstreamNotice;
  /**
   * Queries whose answers name the process of an upstream. The name in the first
   * one is its start time, in ms since the epoch, as a decimal number.
   */
  processQueries: readonly ProcessQuery[];
  /** Serialises the body of a directory response. */
  formatDirectoryResponse(
    response: { addresses: string[]; ttlMs: number },
  ): string;
  /**
   * Parses the operators' configuration. Returns undefined if it is invalid and
   * passes the reason, which contains no keys, to `onInvalid`.
   */
  parseConfig(
    text: string,
    onInvalid?: (reason: string) => void,
  ): RoutingConfig | undefined;
  /** Parses the entry of an upstream; undefined if it is invalid. */
  parseUpstream(key: string, text: string): UpstreamEntry | undefined;
  /** Store key of the configuration. */
  configKey: string;
  /** Prefix of the store keys of upstreams. */
  upstreamPrefix: string;
}

/** State of a front; callers should connect only to a ready one. */
export type FrontState = "starting" | "ready" | "stopping";

/** What a front reports about itself to all siblings. */
export interface FrontReport {
  state: FrontState;
  /** Whether this front reaches a quorum of turn stores. */
  reachesTurnStores: boolean;
  /** Whether this front reaches upstreams over its own connections. */
  reachesUpstreams: boolean;
  /** Whether this front reaches the platform's store. */
  reachesStore: boolean;
  /** Load that its host can carry, in cores; missing from earlier builds. */
  capacity?: number | undefined;
}

/** News that concern all fronts. */
export type FrontNews =
  | { kind: "config"; version: number }
  /** An upstream is or was limited, or is leaving. */
  | { kind: "notice"; notice: SharedNotice }
  | CrashNews
  | SuccessNews
  | { kind: "upstream"; change: Exclude<UpstreamChange, SuspendChange> }
  /** Sent apart: earlier builds would take the change for a removal. */
  | { kind: "suspended_upstream"; change: SuspendChange };

/** A request has crashed an upstream. */
export interface CrashNews {
  kind: "crash";
  fingerprint: string;
  /** Key of the process that crashed. */
  upstream: string;
  /** Time since the crash, in ms; missing from fronts of earlier builds. */
  ageMs?: number;
}

/**
 * An upstream has run a request that was suspected of crashes; unknown to
 * earlier builds, where its crashes count until they expire.
 */
export interface SuccessNews {
  kind: "success";
  fingerprint: string;
  /** Time since the success, in ms. */
  ageMs: number;
}

/** Change of a registered upstream, as the platform's store reported it. */
export type UpstreamChange =
  | { kind: "put"; entry: UpstreamEntry; revision: number }
  | RemoveChange
  | SuspendChange;

/** The entry of an upstream was removed. */
export interface RemoveChange {
  kind: "remove";
  id: string;
  revision: number;
}

/** The entry of an upstream was replaced by one that is not usable. */
export interface SuspendChange {
  kind: "suspend";
  id: string;
  revision: number;
}

/** Returns the news of a change. */
export function toNews(change: UpstreamChange): FrontNews {
  return change.kind === "suspend"
    ? { kind: "suspended_upstream", change }
    : { kind: "upstream", change };
}

/** Registered upstreams as a front knows them. */
export interface UpstreamList {
  entries: UpstreamEntry[];
  /**
   * The store's revision of each entry, in the same order; missing from fronts
   * of earlier builds.
   */
  revisions?: number[];
  /** Recent removals, and the upstreams whose entries are not usable. */
  changes?: (SuspendChange | RemoveChange)[];
  /** Which of the entries are missing in the store and may have lapsed. */
  missing?: MissingEntry[];
  /**
   * Revision up to which nothing else was in the store; missing if the sender
   * has not read it, and from fronts of earlier builds.
   */
  completeTo?: number;
}

/** An entry of an upstream that was not in the store at a revision. */
export interface MissingEntry {
  id: string;
  revision: number;
}

/** State and news that fronts of earlier builds send to all siblings. */
export interface Digest {
  host: string;
  state: FrontState;
  reachesTurnStores: boolean;
  /** Missing from fronts that never forward for others. */
  reachesUpstreams?: boolean;
  configVersion: number;
  /** Requests that recently crashed upstreams, and these upstreams. */
  crashes: { fingerprint: string; upstreams: string[] }[];
  notices?: SharedNotice[];
}

/** Load that a front puts on upstreams, by upstream id; zero if it ended. */
export interface LoadReport {
  host: string;
  loads: Record<string, ReportedLoad>;
}

/** Request methods between fronts. */
export type FrontMethods = {
  /** Returns the load of all fronts but the sender, by upstream id. */
  loads: {
    args: { host: string; upstreams: string[] };
    result: { loads: Record<string, ReportedLoad> };
  };
  /** Asks the collector of an upstream for a permit to send one request. */
  permit: {
    args: {
      upstream: UpstreamEntry;
      request: PermitRequest;
      notice: SharedNotice;
    };
    /** `waitMs` is 0 if the permit is granted. */
    result: { waitMs: number; notice: SharedNotice | undefined };
  };
  /** Asks the allocator of a group of organisations for tokens. */
  quota: { args: QuotaQuery; result: QuotaReply };
  /** Forwards a request to a turn store that the sender does not reach. */
  relay: {
    args: { memberId: string; name: RecordMethod; args: unknown };
    result: unknown;
  };
  /** Returns whether the sibling reaches an upstream at this moment. */
  reaches_upstreams: {
    args: Record<string, never>;
    result: { isReached: boolean };
  };
  /** Returns the unparsed text of the configuration in effect. */
  config: { args: Record<string, never>; result: { text: string } };
  fleet: { args: Record<string, never>; result: FleetSnapshot };
  /**
   * Returns whether a process of an upstream accepts connections; fails if the
   * front that is asked reaches no upstream.
   */
  probe: { args: UpstreamProcess; result: { isListening: boolean } };
  upstreams: {
    args: Record<string, never>;
    result: UpstreamList;
  };
};

/** One-way notices between fronts. */
export type FrontNotices = {
  gossip: GossipMessage<FrontReport, FrontNews>;
  digest: Digest;
  loads: LoadReport;
  /** Forwards a notice to a turn store that the sender does not reach. */
  settle: { memberId: string; notice: SettleNotice };
};
