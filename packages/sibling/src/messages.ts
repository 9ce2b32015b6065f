import type {
  AppendInput,
  AppendResult,
  HostRecord,
  HostRun,
  LogId,
  ShardRecord,
  Tail,
} from "@toucantrestle/membership";
import type {
  CacheNotice,
  Demand,
  Grant,
  LoadReport,
} from "@toucantrestle/policy";
import type { Outcome } from "@toucantrestle/program";
import type { Table } from "@toucantrestle/table";
import type {
  Stamp,
  TimelineEvent,
  TimelineFilter,
} from "@toucantrestle/timeline";
import type { Problem } from "@toucantrestle/verdict";
import type { CallerRequest } from "./caller_request.ts";
import type { HostStatus, ProgramSummary } from "./status.ts";

/** Version of the protocol between daemons. */
export const PROTOCOL_VERSION = 1;

/** First message on a link, in both directions. */
export interface Hello {
  t: "hello";
  version: number;
  run: HostRun;
  /** Key of role `sibling`; only sent by the side that dials. */
  key: string;
}

/** Sent at a fixed interval on every link. */
export interface Heartbeat {
  t: "heartbeat";
  stamp: Stamp;
  tableRevision: number;
}

/** Journal entries for a holder, of any number of shards. */
export interface AppendBatch {
  t: "append";
  appends: AppendInput[];
}

/** A holder's result for one append. */
export interface AppendAck {
  shard: number;
  log: LogId;
  result: AppendResult;
}

/** A holder's answer to an `AppendBatch`. */
export interface AppendAcks {
  t: "append_acks";
  acks: AppendAck[];
}

/** Entries of a shard that a holder may drop, since they are flushed. */
export interface TrimItem {
  shard: number;
  log: LogId;
  upTo: number;
}

/** Tells a holder what it may drop. */
export interface Trim {
  t: "trim";
  trims: TrimItem[];
}

/** What one daemon read of an engine, for its siblings. */
export interface LoadDigest {
  engine: string;
  canResume: boolean;
  report: LoadReport;
  events: CacheNotice[];
}

/** A request was in progress on an engine that crashed. */
export interface SuspectNotice {
  t: "suspect";
  fingerprint: string;
}

/** A request that crashes engines. */
export interface Conviction {
  fingerprint: string;
  caller: string;
  program: string;
  at: number;
}

/** A suspect was convicted; all others are free. */
export interface ConvictedNotice {
  t: "convicted";
  conviction: Conviction;
}

/** Digests of engines' reports. */
export interface Load {
  t: "load";
  digests: LoadDigest[];
}

/** A key as it is kept, under its hash. */
export interface HashedKey {
  hash: string;
  name: string;
  role: "caller" | "operator" | "sibling";
  createdAt: number;
}

/** What a daemon knows of the fleet, for one that cannot read the service. */
export interface ClusterView {
  hosts: HostRecord[];
  shards: ShardRecord[];
  keys: HashedKey[];
}

/** Requests with one answer each. */
export interface Rpcs {
  seal: { args: { shard: number; epoch: number }; result: { tails: Tail[] } };
  /** How long ago the receiver heard from a run. */
  heard: { args: { runId: string }; result: { silentMs: number | undefined } };
  reserve_child: {
    args: { parent: string; child: string; caller: string; tokens: number };
    result: { granted: true };
  };
  settle_child: {
    args: { parent: string; child: string; spentTokens: number };
    result: { settled: true };
  };
  /** The real outcome of a call whose owner was replaced meanwhile. */
  late_outcome: {
    args: {
      program: string;
      step: number;
      requestId: string;
      outcome: Outcome;
    };
    result: { recorded: true };
  };
  /** Asks for parts of callers' limits. */
  shares: {
    args: { host: string; demands: Demand[] };
    result: { grants: Grant[] };
  };
  /** Waits until a suspect may run alone. */
  isolate: {
    args: { fingerprint: string; startedAt: number };
    result: { granted: true };
  };
  /** A suspect's run alone has ended. */
  isolated: {
    args: { fingerprint: string; isConvicted: boolean };
    result: { noted: true };
  };
  table: { args: { above: number }; result: { table: Table | undefined } };
  cluster: {
    args: { for: HostRun };
    result: ClusterView;
  };
  timeline: {
    args: { filter: TimelineFilter };
    result: { events: TimelineEvent[] };
  };
  status: { args: { full: true }; result: { status: HostStatus } };
  programs: {
    args: { full: true };
    result: { programs: ProgramSummary[] };
  };
}

/** Name of a request with one answer. */
export type RpcName = keyof Rpcs;

/** A request with one answer. */
export interface RpcRequest {
  t: "rpc";
  id: number;
  name: RpcName;
  args: Rpcs[RpcName]["args"];
}

/** The answer to a request. */
export interface RpcResult {
  t: "rpc_result";
  id: number;
  result: Rpcs[RpcName]["result"];
}

/** A request failed. */
export interface RpcFailure {
  t: "rpc_failure";
  id: number;
  problem: Problem;
}

/** A caller's request passed on to the owner of its program. */
export interface CallStart {
  t: "call";
  id: number;
  caller: string;
  request: CallerRequest;
}

/** Start of the answer to a passed-on request. */
export interface CallHead {
  t: "call_head";
  id: number;
  status: number;
  contentType: string;
}

/** Part of the answer to a passed-on request. */
export interface CallData {
  t: "call_data";
  id: number;
  text: string;
}

/** End of the answer to a passed-on request. */
export interface CallEnd {
  t: "call_end";
  id: number;
}

/** A passed-on request failed. */
export interface CallFailure {
  t: "call_failure";
  id: number;
  problem: Problem;
}

/** Any message between daemons. */
export type SiblingMessage =
  | Hello
  | Heartbeat
  | AppendBatch
  | AppendAcks
  | Trim
  | Load
  | SuspectNotice
  | ConvictedNotice
  | RpcRequest
  | RpcResult
  | RpcFailure
  | CallStart
  | CallHead
  | CallData
  | CallEnd
  | CallFailure;
