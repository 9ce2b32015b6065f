import type { JournalRecord } from "@toucantrestle/program";
import type { Timer } from "@toucantrestle/timer";
import { UnavailableError, type Verdict } from "@toucantrestle/verdict";
import type { OwnedShard } from "./owned_shard.ts";
import type { Replicator } from "./replicator.ts";

/** Bytes of unflushed journal over all owned shards that a daemon allows. */
const MAX_UNFLUSHED_BYTES = 48_000_000;
const FULL_RETRY_MS = 2_000;
/** A record that is not kept for this long is given up on for its caller. */
const KEEP_PATIENCE_MS = 4_000;
const KEEP_RETRY_MS = 1_000;

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
   * @throws {UnavailableError} when neither holders nor the service answer;
   *   the record may still be kept later
   */
  async keep(shard: OwnedShard, record: JournalRecord): Promise<void> {
    await this.#kept(shard, this.append(shard, record));
  }

  /** Waits until everything appended so far is kept. */
  async keepAll(shard: OwnedShard): Promise<void> {
    await this.#kept(shard, shard.lastLsn);
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

  #kept(shard: OwnedShard, lsn: number): Promise<void> {
    if (lsn <= shard.tracker.committedUpTo) return Promise.resolve();
    return new Promise((resolve, reject) => {
      const timeout = this.#timer.after(KEEP_PATIENCE_MS, () => {
        reject(unkeptError(shard.shard));
      });
      shard.kept(lsn, this.#timer.now())
        .then(resolve, reject)
        .finally(() => timeout.cancel());
    });
  }
}

function unkeptError(shard: number) {
  const verdict: Verdict = "may_have_run";
  return new UnavailableError(`shard ${shard} can keep no records now`, {
    props: { verdict, retryAfterMs: KEEP_RETRY_MS },
  });
}
