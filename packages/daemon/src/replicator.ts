import type {
  AppendInput,
  HostRun,
  LogId,
  ShardLog,
} from "@toucantrestle/membership";
import type { AppendAck, SiblingNet } from "@toucantrestle/sibling";
import type { Timer } from "@toucantrestle/timer";
import type { OwnedShard } from "./owned_shard.ts";

/** Appends that are sent to one holder in one message. */
interface HolderBatch {
  run: HostRun;
  appends: AppendInput[];
}

const RESEND_CHECK_INTERVAL_MS = 100;
const ACK_TIMEOUT_MS = 300;

/** Replicates the journal entries of owned shards to their holders. */
export class Replicator {
  readonly #net: () => SiblingNet;
  readonly #timer: Timer;
  readonly #shards: ReadonlyMap<number, OwnedShard>;
  readonly #dirtyShards = new Set<OwnedShard>();
  readonly #onSealed: (shard: OwnedShard) => void;
  #isScheduled = false;

  constructor(
    opts: {
      net: () => SiblingNet;
      timer: Timer;
      shards: ReadonlyMap<number, OwnedShard>;
      /** Called when a new owner has sealed the shard's journal. */
      onSealed: (shard: OwnedShard) => void;
    },
  ) {
    this.#net = opts.net;
    this.#timer = opts.timer;
    this.#shards = opts.shards;
    this.#onSealed = opts.onSealed;
    this.#timer.every(RESEND_CHECK_INTERVAL_MS, () => this.#resendOverdue());
  }

  /**
   * Schedules the send of a shard's new entries. All appends of the current
   * event loop turn go out together.
   */
  scheduleSend(shard: OwnedShard): void {
    this.#dirtyShards.add(shard);
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.#sendDirty();
    });
  }

  /** Handles a holder's acknowledgements. */
  handleAcks(from: HostRun, acks: AppendAck[]): void {
    for (const ack of acks) this.#handleAck(from, ack);
  }

  /** Resends all unflushed entries to a holder whose link is new. */
  resendAllTo(run: HostRun): void {
    for (const shard of this.#shards.values()) {
      for (const log of shard.activeLogs()) {
        shard.sentUpTo.delete(sentPositionKey(run, log));
      }
      this.scheduleSend(shard);
    }
  }

  #handleAck(
    from: HostRun,
    { shard: shardNumber, log, result }: AppendAck,
  ): void {
    const shard = this.#shards.get(shardNumber);
    if (!shard) return;
    switch (result.kind) {
      case "kept":
        shard.tracker.acknowledge(from.runId, log, result.upTo);
        shard.resolveWaiters();
        return;
      case "gap":
        shard.sentUpTo.set(sentPositionKey(from, log), result.expected - 1);
        this.scheduleSend(shard);
        return;
      case "sealed":
        if (result.epoch > shard.epoch) this.#onSealed(shard);
        return;
      case "full":
        return;
    }
  }

  #sendDirty(): void {
    const batches = new Map<string, HolderBatch>();
    for (const shard of this.#dirtyShards) {
      for (const log of shard.activeLogs()) collectAppends(shard, log, batches);
    }
    this.#dirtyShards.clear();
    for (const { run, appends } of batches.values()) {
      const session = this.#net().session(run);
      if (session) session.send({ t: "append", appends });
      else resetSentPositions(this.#shards, run, appends);
    }
  }

  /** Resends the unflushed entries of shards with overdue acknowledgements. */
  #resendOverdue(): void {
    const now = this.#timer.now();
    for (const shard of this.#shards.values()) {
      const since = shard.oldestWaitSince;
      if (since === undefined || now - since < ACK_TIMEOUT_MS) continue;
      shard.sentUpTo.clear();
      this.scheduleSend(shard);
    }
  }
}

/** Adds the entries that were not sent yet to a log's holders to the batches. */
function collectAppends(
  shard: OwnedShard,
  log: ShardLog,
  batches: Map<string, HolderBatch>,
): void {
  const lastLsn = shard.unflushed.at(-1)?.lsn;
  if (lastLsn === undefined) return;
  for (const run of log.holders) {
    const key = sentPositionKey(run, log);
    const sentLsn = shard.sentUpTo.get(key) ?? 0;
    const entries = shard.unflushed.filter((it) => it.lsn > sentLsn);
    if (entries.length === 0) continue;
    shard.sentUpTo.set(key, lastLsn);
    const batch = batches.get(run.runId) ?? { run, appends: [] };
    batches.set(run.runId, batch);
    batch.appends.push({
      shard: shard.shard,
      log: { epoch: log.epoch, generation: log.generation },
      flushedUpTo: shard.tracker.flushedUpTo,
      entries,
      bytes: entries.reduce((sum, it) => sum + it.json.length, 0),
    });
  }
}

function resetSentPositions(
  shards: ReadonlyMap<number, OwnedShard>,
  run: HostRun,
  appends: AppendInput[],
): void {
  for (const { shard, log } of appends) {
    shards.get(shard)?.sentUpTo.delete(sentPositionKey(run, log));
  }
}

function sentPositionKey(run: HostRun, log: LogId): string {
  return `${run.runId}/${log.epoch}.${log.generation}`;
}
