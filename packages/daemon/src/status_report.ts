import type { HostRecord } from "@toucantrestle/membership";
import type { UpstreamState } from "@toucantrestle/policy";
import type {
  HostStatus,
  ProgramSummary,
  UpstreamStatus,
} from "@toucantrestle/sibling";
import type { Timer } from "@toucantrestle/timer";
import process from "node:process";
import type { DispatchDesk } from "./dispatch_desk.ts";
import type { LeaseKeeper } from "./lease_keeper.ts";
import type { OwnedShard } from "./owned_shard.ts";
import type { StoreView } from "./store_view.ts";
import type { TailStore } from "@toucantrestle/membership";

/** Parts that a status is made from. */
export interface StatusParts {
  record: () => HostRecord;
  view: StoreView;
  lease: LeaseKeeper;
  shards: ReadonlyMap<number, OwnedShard>;
  desk: DispatchDesk;
  tails: TailStore;
  timer: Timer;
  siblingBytesSent: () => number;
}

const BYTES_PER_MB = 1_000_000;
/** A record that is not kept for this long means trouble. */
const SLOW_KEEP_MS = 2_000;

/** What this daemon says of itself. */
export function reportStatus(parts: StatusParts): HostStatus {
  const record = parts.record();
  const shards = [...parts.shards.values()];
  const { dispatcher } = parts.desk;
  const now = parts.timer.now();
  return {
    host: record.host,
    runId: record.runId,
    dataCentre: record.dataCentre,
    state: record.state,
    tableRevision: parts.view.table.revision,
    shardsOwned: shards.length,
    shardsInTrouble: shards.filter((it) => isInTrouble(it, now)).length,
    programs: sum(shards.map(countRunning)),
    callsRunning: sum(shards.map((it) => it.attempts.size)),
    callsWaiting: dispatcher.waiting,
    storeReachable: parts.lease.isFresh,
    tailBytes: parts.tails.bytes,
    siblingBytesSent: parts.siblingBytesSent(),
    rssMb: Math.round(process.memoryUsage.rss() / BYTES_PER_MB),
    upstreams: [...dispatcher.upstreams()].map((it) => reportUpstream(it, now)),
  };
}

/** The programs that this daemon owns. */
export function reportPrograms(parts: StatusParts): ProgramSummary[] {
  const { host } = parts.record();
  const now = parts.timer.now();
  return [...parts.shards.values()].flatMap((shard) =>
    [...shard.ledgers.values()].map((ledger) => ({
      program: ledger.program,
      caller: ledger.caller,
      state: ledger.state,
      steps: ledger.steps.length,
      spentTokens: ledger.spentTokens,
      budgetTokens: ledger.budgetTokens,
      idleMs: now - ledger.lastActiveAt,
      host,
    }))
  );
}

function reportUpstream(state: UpstreamState, now: number): UpstreamStatus {
  return {
    name: state.info.name,
    kind: state.info.kind,
    accepting: state.isAccepting(now),
    inFlight: state.inFlight(),
    capacity: state.info.capacity,
  };
}

function isInTrouble(shard: OwnedShard, now: number): boolean {
  const since = shard.waitingSince;
  return since !== undefined && now - since > SLOW_KEEP_MS;
}

function countRunning(shard: OwnedShard): number {
  let count = 0;
  for (const ledger of shard.ledgers.values()) {
    if (ledger.state === "running") count += 1;
  }
  return count;
}

function sum(values: number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
