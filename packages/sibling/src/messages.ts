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
  CacheEvent,
  Demand,
  Grant,
  LoadReport,
} from "@toucantrestle/policy";
import type { Outcome } from "@toucantrestle/program";
import type { Table } from "@toucantrestle/table";
import type {
  HybridTimestamp,
  TimelineEvent,
  TimelineFilter,
} from "@toucantrestle/timeline";
import type { Problem } from "@toucantrestle/verdict";
import type { CallerRequest, ResponseStart } from "./caller_request.ts";
import type { HostStatus, ProgramSummary } from "./status.ts";

/** Version of the protocol between daemons. Both sides must use the same. */
export const PROTOCOL_VERSION = 1;

/** First message on a link, sent in both directions. */
export interface Hello {
  t: "hello";
  version: number;
  run: HostRun;
  /** Key of the role `sibling`; empty from the side that was dialled. */
  key: string;
}

/** Liveness message, sent at a fixed interval on every link. */
export interface Heartbeat {
  t: "heartbeat";
  stamp: HybridTimestamp;
  tableRevision: number;
}

/** Journal entries of one or more shards, for a holder. */
export interface AppendBatch {
  t: "append";
  appends: AppendInput[];
}

/** Result of a holder for one append. */
export interface AppendAck {
  shard: number;
  log: LogId;
  result: AppendResult;
}

/** Reply of a holder to an `AppendBatch`. */
export interface AppendAcks {
  t: "append_acks";
  acks: AppendAck[];
}

/** Entries of a shard up to LSN `upTo`, which a holder may drop as flushed. */
export interface TrimItem {
  shard: number;
  log: LogId;
  upTo: number;
}

/** Allows a holder to drop flushed entries. */
export interface Trim {
  t: "trim";
  trims: TrimItem[];
}

/** Load and cache events that a daemon read from an engine, for siblings. */
export interface LoadDigest {
  engine: string;
  canResume: boolean;
  /** Version of the engine's software; undefined if it is not known. */
  softwareVersion: string | undefined;
  report: LoadReport;
  events: CacheEvent[];
}

/** A request was in flight on an engine that crashed. */
export interface SuspectNotice {
  t: "suspect";
  fingerprint: string;
}

/** A request that was identified as the cause of engine crashes. */
export interface Conviction {
  fingerprint: string;
  caller: string;
  program: string;
  at: number;
}

/** A suspect was convicted; all other suspects are cleared. */
export interface ConvictedNotice {
  t: "convicted";
  conviction: Conviction;
}

/** Digests of load reports of engines. */
export interface LoadNotice {
  t: "load";
  digests: LoadDigest[];
}

/** An access key as stored: its hash instead of its secret. */
export interface HashedKey {
  hash: string;
  name: string;
  role: "caller" | "operator" | "sibling";
  createdAt: number;
}

/**
 * Cluster state known to a daemon, for a sibling that cannot read the key-value
 * service.
 */
export interface ClusterView {
  hosts: HostRecord[];
  shards: ShardRecord[];
  keys: HashedKey[];
}

/** Remote procedure calls between daemons, by name. */
export interface Rpcs {
  /** Fences the epochs of a shard below `epoch` and returns its journal tails. */
  seal: { args: { shard: number; epoch: number }; result: { tails: Tail[] } };
  /** Returns how long the receiver has received nothing from a run. */
  heard: { args: { runId: string }; result: { silentMs: number | undefined } };
  /** Reserves part of the parent's token budget for a sub-agent. */
  reserve_child: {
    args: { parent: string; child: string; caller: string; tokens: number };
    result: { granted: true };
  };
  /** Releases the part of a reservation that an ended sub-agent did not spend. */
  settle_child: {
    args: { parent: string; child: string; spentTokens: number };
    result: { settled: true };
  };
  /** Reports the actual outcome of a call after its shard has moved. */
  late_outcome: {
    args: {
      program: string;
      step: number;
      requestId: string;
      outcome: Outcome;
    };
    result: { recorded: true };
  };
  /** Requests shares of callers' limits. */
  shares: {
    args: { host: string; demands: Demand[] };
    result: { grants: Grant[] };
  };
  /** Waits for permission to run a suspect in isolation. */
  isolate: {
    args: { fingerprint: string; startedAt: number };
    result: { granted: true };
  };
  /** Reports the result of running a suspect in isolation. */
  isolated: {
    args: { fingerprint: string; isConvicted: boolean };
    result: { noted: true };
  };
  /** Returns the receiver's table if its revision is higher than `above`. */
  table: { args: { above: number }; result: { table: Table | undefined } };
  /** Returns the cluster state as known to the receiver. */
  cluster: {
    args: { for: HostRun };
    result: ClusterView;
  };
  /** Returns the receiver's own timeline events. */
  timeline: {
    args: { filter: TimelineFilter };
    result: { events: TimelineEvent[] };
  };
  /** Returns the receiver's own status. */
  status: { args: { full: true }; result: { status: HostStatus } };
  /** Lists the programs that the receiver owns. */
  programs: {
    args: { full: true };
    result: { programs: ProgramSummary[] };
  };
}

/** Name of a remote procedure call. */
export type RpcName = keyof Rpcs;

/** Invokes a remote procedure call. */
export interface RpcRequest {
  t: "rpc";
  id: number;
  name: RpcName;
  args: Rpcs[RpcName]["args"];
}

/** Result of a remote procedure call. */
export interface RpcResult {
  t: "rpc_result";
  id: number;
  result: Rpcs[RpcName]["result"];
}

/** Failure of a remote procedure call. */
export interface RpcFailure {
  t: "rpc_failure";
  id: number;
  problem: Problem;
}

/** A caller's request, forwarded to the owner of its program. */
export interface CallStart {
  t: "call";
  id: number;
  caller: string;
  request: CallerRequest;
}

/** Start of the response to a forwarded request. */
export interface CallHead extends ResponseStart {
  t: "call_head";
  id: number;
}

/** Chunk of the response to a forwarded request. */
export interface CallData {
  t: "call_data";
  id: number;
  text: string;
}

/** End of the response to a forwarded request. */
export interface CallEnd {
  t: "call_end";
  id: number;
}

/** Failure of a forwarded request. */
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
  | LoadNotice
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
