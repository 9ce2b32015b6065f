import type { HostRecord } from "@toucantrestle/membership";
import type { UpstreamState } from "@toucantrestle/policy";
import type {
  HostStatus,
  ProgramSummary,
  UpstreamStatus,
} from "@toucantrestle/sibling";
import type { Timer } from "@toucantrestle/timer";
import process from "node:process";
import type { PlacementQueue } from "./placement_queue.ts";
import type { LeaseManager } from "./lease_manager.ts";
import type { OwnedShard } from "./owned_shard.ts";
import type { StoreView } from "./store_view.ts";
import type { TailStore } from "@toucantrestle/membership";

/** Components that a status report is compiled from. */
export interface StatusComponents {
  record: () => HostRecord;
  view: StoreView;
  lease: LeaseManager;
  shards: ReadonlyMap<number, OwnedShard>;
  placementQueue: PlacementQueue;
  tails: TailStore;
  timer: Timer;
  siblingBytesSent: () => number;
}

const BYTES_PER_MB = 1_000_000;
/**
 * A shard is reported as in trouble if a write has been waiting to be persisted
 * for longer than this.
 */
const SLOW_PERSIST_MS = 2_000;

/** Returns the status of this daemon. */
export function reportStatus(components: StatusComponents): HostStatus {
  const record = components.record();
  const shards = [...components.shards.values()];
  const { dispatcher } = components.placementQueue;
  const now = components.timer.now();
  return {
    host: record.host,
    runId: record.runId,
    dataCentre: record.dataCentre,
    state: record.state,
    tableRevision: components.view.table.revision,
    shardsOwned: shards.length,
    shardsInTrouble: shards.filter((it) => isInTrouble(it, now)).length,
    programs: sum(shards.map(countRunningPrograms)),
    callsRunning: sum(shards.map((it) => it.callsInFlight.size)),
    callsWaiting: dispatcher.waiting,
    storeReachable: components.lease.isFresh,
    tailBytes: components.tails.bytes,
    siblingBytesSent: components.siblingBytesSent(),
    rssMb: Math.round(process.memoryUsage.rss() / BYTES_PER_MB),
    upstreams: [...dispatcher.upstreams()].map((it) => reportUpstream(it, now)),
  };
}

/** Returns summaries of the programs that this daemon owns. */
export function reportPrograms(components: StatusComponents): ProgramSummary[] {
  const { host } = components.record();
  const now = components.timer.now();
  return [...components.shards.values()].flatMap((shard) =>
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
  const waitingSince = shard.oldestWaitSince;
  return waitingSince !== undefined && now - waitingSince > SLOW_PERSIST_MS;
}

function countRunningPrograms(shard: OwnedShard): number {
  let count = 0;
  for (const ledger of shard.ledgers.values()) {
    if (ledger.state === "running") count += 1;
  }
  return count;
}

function sum(values: number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
