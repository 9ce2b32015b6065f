import type { JournalRecord } from "@toucantrestle/program";
import type { Timer } from "@toucantrestle/timer";
import { UnavailableError } from "@toucantrestle/verdict";
import type { OwnedShard } from "./owned_shard.ts";
import type { Replicator } from "./replicator.ts";

/** Bytes of unflushed journal over all owned shards that a daemon allows. */
const MAX_UNFLUSHED_BYTES = 48_000_000;
const FULL_RETRY_MS = 2_000;

/** Appends records to owned shards and waits until they are kept. */
export class Journal {
  readonly #replicator: Replicator;
  readonly #timer: Timer;
  readonly #shards: ReadonlyMap<number, OwnedShard>;

  constructor(
    opts: {
      replicator: Replicator;
      timer: Timer;
      shards: ReadonlyMap<number, OwnedShard>;
    },
  ) {
    this.#replicator = opts.replicator;
    this.#timer = opts.timer;
    this.#shards = opts.shards;
  }

  /** Appends a record without waiting. */
  append(shard: OwnedShard, record: JournalRecord): number {
    const lsn = shard.append(record);
    this.#replicator.wake(shard);
    return lsn;
  }

  /**
   * Appends a record and waits until it is kept.
   *
   * @throws {RequestError} of status 421 when the shard was lost before
   */
  async keep(shard: OwnedShard, record: JournalRecord): Promise<void> {
    const lsn = this.append(shard, record);
    await shard.kept(lsn, this.#timer.now());
  }

  /** Waits until everything appended so far is kept. */
  async keepAll(shard: OwnedShard): Promise<void> {
    await shard.kept(shard.lastLsn, this.#timer.now());
  }

  /**
   * Checks that the journal has room.
   *
   * @throws {UnavailableError} with verdict `not_run`
   */
  checkRoom(): void {
    let bytes = 0;
    for (const shard of this.#shards.values()) bytes += shard.unflushedBytes;
    if (bytes < MAX_UNFLUSHED_BYTES) return;
    throw new UnavailableError(
      "the journal is full until the key-value service can be written",
      { props: { retryAfterMs: FULL_RETRY_MS } },
    );
  }
}
