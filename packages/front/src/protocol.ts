import type { FleetSnapshot } from "@toucantrestle/fleet";
import type {
  PromptPart,
  RoutingConfig,
  UpstreamEntry,
  UpstreamLoad,
} from "@toucantrestle/routing";
import type { RecordMethod, SettleNotice } from "@toucantrestle/turn_store";
import type { AnswerHead } from "@toucantrestle/upstream_channel";
import type { IncomingHttpHeaders } from "node:http";

/** What the headers of a caller's request say. Times in ms. */
export interface CallHead {
  /** Id of this attempt. */
  id: string;
  /** How long the caller waits; undefined where it does not say. */
  timeLeftMs: number | undefined;
  program: string | undefined;
  /** Line of turns within the program. */
  session: string | undefined;
  /** Time until the whole program should have finished. */
  finishMs: number | undefined;
  /** Tokens that all turns of the program may hand out. */
  tokenBudget: number | undefined;
  promptTokens: number | undefined;
  maxOutputTokens: number | undefined;
  /** The caller's estimate of the output. */
  expectedOutputTokens: number | undefined;
  promptParts: PromptPart[];
  /** Turn that this one continues. */
  previousTurn: string | undefined;
  /** Event after which a stream goes on. */
  lastEventId: string | undefined;
  affinityKey: string | undefined;
}

/** What this process sets on a request to an upstream. */
export interface UpstreamRequestAttributes {
  timeLeftMs: number;
  /** Upstream that alone may run it. */
  upstreamId: string;
  /** 0 is served first, 9 last. */
  urgency: number | undefined;
}

/**
 * What callers and upstreams speak: names of headers and paths, and what they
 * mean. Implemented by an adapter.
 */
export interface Protocol {
  /** Path of the question where to connect. */
  directoryPath: string;
  /** Path of the question whether this process is ready. */
  readyPath: string;
  /** Reads the headers; undefined when the request has no id. */
  readHead(headers: IncomingHttpHeaders): CallHead | undefined;
  /** Lower-case names that a caller may not set on a request to an upstream. */
  isReserved(name: string): boolean;
  /** Names and values by turns that this process sets. */
  marks(attributes: UpstreamRequestAttributes): string[];
  /** Request id that an answer names. */
  answeredId(head: AnswerHead): string | undefined;
  /** Whether an answer says that its request did not run. */
  isDeclined(head: AnswerHead): boolean;
  /** Whether an answer bears the mark of an upstream. */
  isGenuine(head: AnswerHead): boolean;
  /** Body of the answer where to connect. */
  directoryAnswer(response: { addresses: string[]; ttlMs: number }): string;
  /** Reads the operators' configuration; undefined where it is not one. */
  readConfig(text: string): RoutingConfig | undefined;
  /** Reads an upstream's entry; undefined where it names none. */
  readUpstream(key: string, text: string): UpstreamEntry | undefined;
  configKey: string;
  upstreamPrefix: string;
}

/** Whether callers should connect to a front. */
export type FrontState = "starting" | "ready" | "stopping";

/** What fronts tell each other, several times a second. */
export interface Digest {
  host: string;
  state: FrontState;
  /** Whether this front reaches enough turn stores. */
  reachesTurnStores: boolean;
  configVersion: number;
  /** Requests in progress from this front, by upstream. */
  loads: Record<string, UpstreamLoad>;
  crashes: { fingerprint: string; upstreams: string[] }[];
}

/** Requests between fronts. */
export type FrontMethods = {
  /** To be passed on to a turn store that the sender does not reach. */
  relay: {
    args: { memberId: string; name: RecordMethod; args: unknown };
    result: unknown;
  };
  /** The newest configuration as the operators wrote it. */
  config: { args: Record<string, never>; result: { text: string } };
  fleet: { args: Record<string, never>; result: FleetSnapshot };
  upstreams: {
    args: Record<string, never>;
    result: { entries: UpstreamEntry[] };
  };
};

/** Notices between fronts. */
export type FrontNotices = {
  digest: Digest;
  /** To be passed on to a turn store that the sender does not reach. */
  settle: { memberId: string; notice: SettleNotice };
};
