import {
  type ConfigStore,
  StoreError,
  type StoreItem,
  type Txn,
  type TxnResult,
} from "@toucantrestle/config_store";
import type { Logger } from "@toucantrestle/log";
import {
  pacedIntervalMs,
  type ShardLog,
  type ShardRecord,
} from "@toucantrestle/membership";
import { encodeChunk, type JournalEntry } from "@toucantrestle/program";
import type { SiblingNet } from "@toucantrestle/sibling";
import { sleep, type Timer } from "@toucantrestle/timer";
import { randomUUID } from "node:crypto";
import { chunkKey, shardKey } from "./keyspace.ts";
import type { OwnedShard } from "./owned_shard.ts";

/** Part of a flush: one chunk of one shard. */
interface FlushItem {
  shard: OwnedShard;
  chunk: number;
  entries: readonly JournalEntry[];
  /** Set where the flush also moves the tail to new holders. */
  rotation: ShardRecord | undefined;
}

const MAX_CHUNK_BYTES = 700_000;
const MAX_TXN_BYTES = 1_000_000;
const MAX_TXN_ITEMS = 40;
const RETRY_MS = 250;
const MIN_GAP_MS = 25;
/** Pause after the service refused a flush. */
const REFUSED_DELAY_MS = 500;
/** A record that is not kept by holders after this waits for a flush. */
const HOLDER_PATIENCE_MS = 150;

/**
 * Writes the unflushed journal entries of all owned shards to the platform's
 * service, many shards a transaction. A transaction whose answer was lost is
 * repeated unchanged until its result is known.
 */
export class Flusher {
  readonly #store: ConfigStore;
  readonly #timer: Timer;
  readonly #log: Logger;
  readonly #net: () => SiblingNet;
  readonly #shards: ReadonlyMap<number, OwnedShard>;
  readonly #intervalMs: () => number;
  readonly #onLost: (shard: OwnedShard) => void;
  readonly #rotations = new Map<OwnedShard, ShardLog>();
  #lastStartedAt = 0;
  #blockedUntil = 0;
  #isClosed = false;
  #running: Promise<void> | undefined;

  constructor(
    opts: {
      store: ConfigStore;
      timer: Timer;
      log: Logger;
      net: () => SiblingNet;
      shards: ReadonlyMap<number, OwnedShard>;
      baseIntervalMs: number;
      daemons: () => number;
      /** Another daemon owns the shard. */
      onLost: (shard: OwnedShard) => void;
    },
  ) {
    this.#store = opts.store;
    this.#timer = opts.timer;
    this.#log = opts.log;
    this.#net = opts.net;
    this.#shards = opts.shards;
    this.#intervalMs = () =>
      pacedIntervalMs(opts.baseIntervalMs, opts.daemons());
    this.#onLost = opts.onLost;
    this.#timer.every(MIN_GAP_MS, () => this.#tick());
  }

  /** Moves a shard's tail to new holders with the next flush. */
  rotate(shard: OwnedShard, log: ShardLog): void {
    this.#rotations.set(shard, log);
  }

  /** Whether a rotation of the shard waits or is in flight. */
  isRotating(shard: OwnedShard): boolean {
    return this.#rotations.has(shard) || shard.logs().length > 1;
  }

  /** Flushes everything that is unflushed now. */
  async flushAll(): Promise<void> {
    await this.#running;
    while (!this.#isClosed && this.#pendingShards().length > 0) {
      const waitMs = this.#blockedUntil - this.#timer.now();
      if (waitMs > 0) await sleep(this.#timer, waitMs);
      await (this.#running ?? this.#run());
    }
  }

  close(): void {
    this.#isClosed = true;
  }

  #tick(): void {
    if (this.#running || this.#isClosed) return;
    const now = this.#timer.now();
    if (now < this.#blockedUntil) return;
    const isDue = now - this.#lastStartedAt >= this.#intervalMs();
    if (!isDue && !this.#isUrgent(now)) return;
    if (this.#pendingShards().length === 0) return;
    this.#run();
  }

  #run(): Promise<void> {
    this.#lastStartedAt = this.#timer.now();
    this.#running = this.#flush().finally(() => {
      this.#running = undefined;
    });
    return this.#running;
  }

  /** Some record waits that its holders do not keep. */
  #isUrgent(now: number): boolean {
    for (const shard of this.#shards.values()) {
      if (this.#rotations.has(shard)) return true;
      const since = shard.waitingSince;
      if (since === undefined) continue;
      const hasHolders = shard.record.log.holders.length > 0;
      if (!hasHolders || now - since >= HOLDER_PATIENCE_MS) return true;
    }
    return false;
  }

  #pendingShards(): OwnedShard[] {
    return [...this.#shards.values()].filter((shard) =>
      shard.state !== "lost" &&
      (shard.unflushed.length > 0 || this.#rotations.has(shard))
    );
  }

  async #flush(): Promise<void> {
    let batch: FlushItem[] = [];
    let bytes = 0;
    for (const shard of this.#pendingShards()) {
      const item = this.#createItem(shard);
      const size = item.entries.reduce((sum, it) => sum + it.json.length, 0);
      const isFull = batch.length >= MAX_TXN_ITEMS ||
        bytes + size > MAX_TXN_BYTES;
      if (batch.length > 0 && isFull) {
        await this.#write(batch);
        batch = [];
        bytes = 0;
      }
      batch.push(item);
      bytes += size;
    }
    if (batch.length > 0) await this.#write(batch);
  }

  #createItem(shard: OwnedShard): FlushItem {
    const entries = takeBytes(shard.unflushed, MAX_CHUNK_BYTES);
    const takesAll = entries.length === shard.unflushed.length;
    const log = takesAll ? this.#rotations.get(shard) : undefined;
    let rotation: ShardRecord | undefined;
    if (log) {
      rotation = { ...shard.record, log, writeId: randomUUID() };
      shard.tracker.beginRotation(log);
      this.#rotations.delete(shard);
    }
    return { shard, chunk: shard.nextChunk, entries, rotation };
  }

  /** Repeats one transaction until it is known what became of it. */
  async #write(items: FlushItem[]): Promise<void> {
    let open = items;
    let wasSent = false;
    while (open.length > 0 && !this.#isClosed) {
      try {
        const result = await this.#store.txn(toTxn(open));
        open = result.succeeded
          ? this.#settleAll(open, result)
          : this.#settleFailed(open, result.current);
      } catch (err) {
        wasSent ||= !(err instanceof StoreError) || err.verdict !== "not_run";
        if (!wasSent && open === items) return this.#abandon(items);
        await sleep(this.#timer, RETRY_MS);
      }
    }
  }

  /** The transaction was never run: its entries go with a later one. */
  #abandon(items: FlushItem[]): void {
    this.#blockedUntil = this.#timer.now() + REFUSED_DELAY_MS;
    for (const { shard, rotation } of items) {
      if (!rotation) continue;
      shard.tracker.endRotation(shard.record.log);
      this.#rotations.set(shard, rotation.log);
    }
  }

  #settleAll(items: FlushItem[], result: TxnResult): FlushItem[] {
    for (const item of items) this.#settle(item, result.revision);
    return [];
  }

  /**
   * A condition did not hold: a chunk stands already, since an earlier answer
   * was lost, or another daemon took a shard over.
   *
   * @returns the items that are still to be written
   */
  #settleFailed(items: FlushItem[], current: StoreItem[]): FlushItem[] {
    const byKey = new Map(current.map((it) => [it.key, it]));
    const open: FlushItem[] = [];
    for (const item of items) {
      const { shard, rotation, chunk } = item;
      const stored = byKey.get(shardKey(shard.shard));
      const record = stored && JSON.parse(stored.value) as ShardRecord;
      const isOwn = record?.epoch === shard.epoch &&
        record.owner.runId === shard.record.owner.runId;
      if (!stored || !isOwn) {
        this.#onLost(shard);
      } else if (rotation && record.writeId === rotation.writeId) {
        this.#settle(item, stored.modRevision);
      } else if (byKey.has(chunkKey(shard.shard, chunk))) {
        if (rotation) shard.tracker.endRotation(shard.record.log);
        this.#settle({ ...item, rotation: undefined }, stored.modRevision);
      } else {
        shard.modRevision = stored.modRevision;
        open.push(item);
      }
    }
    return open;
  }

  #settle({ shard, entries, rotation }: FlushItem, revision: number): void {
    if (rotation) {
      shard.record = rotation;
      shard.modRevision = revision;
      shard.tracker.endRotation(rotation.log);
      this.#log.debug(`shard ${shard.shard} has new holders`);
    }
    if (entries.length > 0) {
      shard.nextChunk += 1;
      const upTo = entries.at(-1)?.lsn ?? 0;
      shard.flushed(upTo);
      this.#trim(shard, upTo);
    }
    shard.settleWaiters();
  }

  #trim(shard: OwnedShard, upTo: number): void {
    const { log } = shard.record;
    const id = { epoch: log.epoch, generation: log.generation };
    for (const run of log.holders) {
      this.#net().send(run, {
        t: "trim",
        trims: [{ shard: shard.shard, log: id, upTo }],
      });
    }
  }
}

function toTxn(items: FlushItem[]): Txn {
  const txn: Txn = { compares: [], puts: [], deletes: [] };
  for (const { shard, chunk, entries, rotation } of items) {
    const recordKey = shardKey(shard.shard);
    txn.compares.push({ key: recordKey, modRevision: shard.modRevision });
    if (rotation) {
      txn.puts.push({ key: recordKey, value: JSON.stringify(rotation) });
    }
    if (entries.length === 0) continue;
    const key = chunkKey(shard.shard, chunk);
    txn.compares.push({ key, modRevision: 0 });
    txn.puts.push({ key, value: encodeChunk([...entries]) });
  }
  return txn;
}

function takeBytes(
  entries: readonly JournalEntry[],
  limit: number,
): readonly JournalEntry[] {
  let bytes = 0;
  const end = entries.findIndex((entry) => {
    bytes += entry.json.length;
    return bytes > limit;
  });
  return end === -1 ? entries.slice() : entries.slice(0, Math.max(1, end));
}
