import type {
  AppendInput,
  HostRun,
  LogId,
  ShardLog,
} from "@toucantrestle/membership";
import type { AppendAck, SiblingNet } from "@toucantrestle/sibling";
import type { Timer } from "@toucantrestle/timer";
import type { OwnedShard } from "./owned_shard.ts";

/** Appends of one turn for one holder. */
interface HolderBatch {
  run: HostRun;
  appends: AppendInput[];
}

const RESEND_CHECK_MS = 100;
const RESEND_AFTER_MS = 300;

/** Sends journal entries of owned shards to their holders. */
export class Replicator {
  readonly #net: () => SiblingNet;
  readonly #timer: Timer;
  readonly #shards: ReadonlyMap<number, OwnedShard>;
  readonly #dirty = new Set<OwnedShard>();
  readonly #onSealed: (shard: OwnedShard) => void;
  #scheduled = false;

  constructor(
    opts: {
      net: () => SiblingNet;
      timer: Timer;
      shards: ReadonlyMap<number, OwnedShard>;
      /** A successor has sealed the shard. */
      onSealed: (shard: OwnedShard) => void;
    },
  ) {
    this.#net = opts.net;
    this.#timer = opts.timer;
    this.#shards = opts.shards;
    this.#onSealed = opts.onSealed;
    this.#timer.every(RESEND_CHECK_MS, () => this.#resendOverdue());
  }

  /** Sends what was appended, together with all else of this turn. */
  wake(shard: OwnedShard): void {
    this.#dirty.add(shard);
    if (this.#scheduled) return;
    this.#scheduled = true;
    setImmediate(() => {
      this.#scheduled = false;
      this.#sendDirty();
    });
  }

  /** Takes a holder's answers. */
  takeAcks(from: HostRun, acks: AppendAck[]): void {
    for (const ack of acks) this.#takeAck(from, ack);
  }

  /** Sends everything unflushed again to a holder with a new link. */
  relinked(run: HostRun): void {
    for (const shard of this.#shards.values()) {
      for (const log of shard.logs()) shard.sentUpTo.delete(sentKey(run, log));
      this.wake(shard);
    }
  }

  #takeAck(from: HostRun, { shard: number, log, result }: AppendAck): void {
    const shard = this.#shards.get(number);
    if (!shard) return;
    switch (result.kind) {
      case "kept":
        shard.tracker.acknowledge(from.runId, log, result.upTo);
        shard.settleWaiters();
        return;
      case "gap":
        shard.sentUpTo.set(sentKey(from, log), result.expected - 1);
        this.wake(shard);
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
    for (const shard of this.#dirty) {
      for (const log of shard.logs()) collect(shard, log, batches);
    }
    this.#dirty.clear();
    for (const { run, appends } of batches.values()) {
      const session = this.#net().session(run);
      if (session) session.send({ t: "append", appends });
      else forgetSent(this.#shards, run, appends);
    }
  }

  /** Sends again what was not acknowledged in time. */
  #resendOverdue(): void {
    const now = this.#timer.now();
    for (const shard of this.#shards.values()) {
      const since = shard.waitingSince;
      if (since === undefined || now - since < RESEND_AFTER_MS) continue;
      shard.sentUpTo.clear();
      this.wake(shard);
    }
  }
}

/** Adds what a log's holders have not been sent to the batches. */
function collect(
  shard: OwnedShard,
  log: ShardLog,
  batches: Map<string, HolderBatch>,
): void {
  const last = shard.unflushed.at(-1)?.lsn;
  if (last === undefined) return;
  for (const run of log.holders) {
    const key = sentKey(run, log);
    const sent = shard.sentUpTo.get(key) ?? 0;
    const entries = shard.unflushed.filter((it) => it.lsn > sent);
    if (entries.length === 0) continue;
    shard.sentUpTo.set(key, last);
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

function forgetSent(
  shards: ReadonlyMap<number, OwnedShard>,
  run: HostRun,
  appends: AppendInput[],
): void {
  for (const { shard, log } of appends) {
    shards.get(shard)?.sentUpTo.delete(sentKey(run, log));
  }
}

function sentKey(run: HostRun, log: LogId): string {
  return `${run.runId}/${log.epoch}.${log.generation}`;
}
