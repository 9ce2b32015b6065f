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

/** Part of a flush: one chunk of one shard's journal. */
interface FlushItem {
  shard: OwnedShard;
  chunk: number;
  entries: readonly JournalEntry[];
  /** New shard record if the flush also moves the tail to new holders. */
  rotation: ShardRecord | undefined;
}

const MAX_CHUNK_BYTES = 700_000;
const MAX_TXN_BYTES = 1_000_000;
const MAX_TXN_ITEMS = 40;
const RETRY_MS = 250;
const CHECK_INTERVAL_MS = 25;
/** Delay before the next flush after the service rejected one. */
const REJECTED_DELAY_MS = 500;
/** Records that holders do not acknowledge within this time are flushed. */
const HOLDER_ACK_TIMEOUT_MS = 150;

/**
 * Persists the unflushed journal entries of all owned shards in the platform's
 * key-value service. One transaction covers many shards. A transaction whose
 * response was lost is retried unchanged until its result is known.
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
  #runningFlush: Promise<void> | undefined;

  constructor(
    opts: {
      store: ConfigStore;
      timer: Timer;
      log: Logger;
      net: () => SiblingNet;
      shards: ReadonlyMap<number, OwnedShard>;
      baseIntervalMs: number;
      /** Returns the number of daemons; flushes get rarer as it grows. */
      daemons: () => number;
      /** Called when another daemon owns the shard. */
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
    this.#timer.every(CHECK_INTERVAL_MS, () => this.#flushIfDue());
  }

  /** Schedules the move of a shard's tail to new holders for the next flush. */
  scheduleRotation(shard: OwnedShard, log: ShardLog): void {
    this.#rotations.set(shard, log);
  }

  /** Whether a rotation of the shard is scheduled or in flight. */
  isRotating(shard: OwnedShard): boolean {
    return this.#rotations.has(shard) || shard.activeLogs().length > 1;
  }

  /** Flushes until no owned shard has unflushed entries or a rotation left. */
  async flushAll(): Promise<void> {
    await this.#runningFlush;
    while (!this.#isClosed && this.#pendingShards().length > 0) {
      const waitMs = this.#blockedUntil - this.#timer.now();
      if (waitMs > 0) await sleep(this.#timer, waitMs);
      await (this.#runningFlush ?? this.#startFlush());
    }
  }

  close(): void {
    this.#isClosed = true;
  }

  #flushIfDue(): void {
    if (this.#runningFlush || this.#isClosed) return;
    const now = this.#timer.now();
    if (now < this.#blockedUntil) return;
    const isDue = now - this.#lastStartedAt >= this.#intervalMs();
    if (!isDue && !this.#isUrgent(now)) return;
    if (this.#pendingShards().length === 0) return;
    this.#startFlush();
  }

  #startFlush(): Promise<void> {
    this.#lastStartedAt = this.#timer.now();
    this.#runningFlush = this.#flush().finally(() => {
      this.#runningFlush = undefined;
    });
    return this.#runningFlush;
  }

  /**
   * Whether a flush must start before the interval ends: a rotation is scheduled,
   * or a caller waits for a record that its holders do not acknowledge.
   */
  #isUrgent(now: number): boolean {
    for (const shard of this.#shards.values()) {
      if (this.#rotations.has(shard)) return true;
      const since = shard.oldestWaitSince;
      if (since === undefined) continue;
      const hasHolders = shard.record.log.holders.length > 0;
      if (!hasHolders || now - since >= HOLDER_ACK_TIMEOUT_MS) return true;
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
      const item = this.#createFlushItem(shard);
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

  #createFlushItem(shard: OwnedShard): FlushItem {
    const entries = takeUpToBytes(shard.unflushed, MAX_CHUNK_BYTES);
    const hasAllEntries = entries.length === shard.unflushed.length;
    const log = hasAllEntries ? this.#rotations.get(shard) : undefined;
    let rotation: ShardRecord | undefined;
    if (log) {
      rotation = { ...shard.record, log, writeId: randomUUID() };
      shard.tracker.beginRotation(log);
      this.#rotations.delete(shard);
    }
    return { shard, chunk: shard.nextChunk, entries, rotation };
  }

  /** Retries one transaction until its result is known. */
  async #write(items: FlushItem[]): Promise<void> {
    let pending = items;
    let wasSent = false;
    while (pending.length > 0 && !this.#isClosed) {
      try {
        const result = await this.#store.txn(createTxn(pending));
        pending = result.succeeded
          ? this.#completeAll(pending, result)
          : this.#resolveFailed(pending, result.current);
      } catch (err) {
        wasSent ||= !(err instanceof StoreError) || err.verdict !== "not_run";
        if (!wasSent && pending === items) return this.#requeue(items);
        await sleep(this.#timer, RETRY_MS);
      }
    }
  }

  /** Leaves the entries of a transaction that was not run to a later one. */
  #requeue(items: FlushItem[]): void {
    this.#blockedUntil = this.#timer.now() + REJECTED_DELAY_MS;
    for (const { shard, rotation } of items) {
      if (!rotation) continue;
      shard.tracker.endRotation(shard.record.log);
      this.#rotations.set(shard, rotation.log);
    }
  }

  #completeAll(items: FlushItem[], result: TxnResult): FlushItem[] {
    for (const item of items) this.#complete(item, result.revision);
    return [];
  }

  /**
   * Handles a transaction whose conditions failed: either a chunk is stored
   * already because an earlier response was lost, or another daemon has taken a
   * shard over.
   *
   * @returns the items that still have to be written
   */
  #resolveFailed(items: FlushItem[], current: StoreItem[]): FlushItem[] {
    const byKey = new Map(current.map((it) => [it.key, it]));
    const pending: FlushItem[] = [];
    for (const item of items) {
      const { shard, rotation, chunk } = item;
      const stored = byKey.get(shardKey(shard.shard));
      const record = stored && JSON.parse(stored.value) as ShardRecord;
      const isOwn = record?.epoch === shard.epoch &&
        record.owner.runId === shard.record.owner.runId;
      if (!stored || !isOwn) {
        this.#onLost(shard);
      } else if (rotation && record.writeId === rotation.writeId) {
        this.#complete(item, stored.modRevision);
      } else if (byKey.has(chunkKey(shard.shard, chunk))) {
        if (rotation) shard.tracker.endRotation(shard.record.log);
        this.#complete({ ...item, rotation: undefined }, stored.modRevision);
      } else {
        shard.modRevision = stored.modRevision;
        pending.push(item);
      }
    }
    return pending;
  }

  #complete({ shard, entries, rotation }: FlushItem, revision: number): void {
    if (rotation) {
      shard.record = rotation;
      shard.modRevision = revision;
      shard.tracker.endRotation(rotation.log);
      this.#log.debug(
        `moved the journal tail of shard ${shard.shard} to ${rotation.log.holders.length} new holders`,
      );
    }
    if (entries.length > 0) {
      shard.nextChunk += 1;
      const upTo = entries.at(-1)?.lsn ?? 0;
      shard.markFlushed(upTo);
      this.#sendTrims(shard, upTo);
    }
    shard.resolveWaiters();
  }

  #sendTrims(shard: OwnedShard, upTo: number): void {
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

function createTxn(items: FlushItem[]): Txn {
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

/** Returns the first entries up to `limit` bytes, at least one of them. */
function takeUpToBytes(
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
