import type { JournalRecord } from "@toucantrestle/program";
import type { Timer } from "@toucantrestle/timer";
import { UnavailableError, type Verdict } from "@toucantrestle/verdict";
import type { OwnedShard } from "./owned_shard.ts";
import type { Replicator } from "./replicator.ts";

/** Limit on unflushed journal bytes over all owned shards of a daemon. */
const MAX_UNFLUSHED_BYTES = 48_000_000;
const FULL_RETRY_AFTER_MS = 2_000;
/** The caller gets an error if a record is not committed within this time. */
const COMMIT_TIMEOUT_MS = 4_000;
const COMMIT_RETRY_AFTER_MS = 1_000;

/**
 * Appends records to owned shards and waits until they are committed, that is
 * acknowledged by a quorum of holders or flushed to the key-value service.
 */
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
    this.#replicator.scheduleSend(shard);
    return lsn;
  }

  /**
   * Appends a record and waits until it is committed.
   *
   * @throws {RequestError} with status 421 if the shard was lost before
   * @throws {UnavailableError} if neither the holders nor the service confirm
   *   the record in time; it may still be committed later
   */
  async commit(shard: OwnedShard, record: JournalRecord): Promise<void> {
    await this.#waitForCommit(shard, this.append(shard, record));
  }

  /** Waits until all records appended so far are committed. */
  async commitAll(shard: OwnedShard): Promise<void> {
    await this.#waitForCommit(shard, shard.lastLsn);
  }

  /**
   * Checks that the unflushed journal is below its size limit.
   *
   * @throws {UnavailableError} with verdict `not_run`
   */
  checkCapacity(): void {
    let bytes = 0;
    for (const shard of this.#shards.values()) bytes += shard.unflushedBytes;
    if (bytes < MAX_UNFLUSHED_BYTES) return;
    throw new UnavailableError(
      `the unflushed journal is full: ${bytes} of ${MAX_UNFLUSHED_BYTES} bytes wait for the key-value service`,
      { props: { retryAfterMs: FULL_RETRY_AFTER_MS } },
    );
  }

  #waitForCommit(shard: OwnedShard, lsn: number): Promise<void> {
    if (lsn <= shard.tracker.committedUpTo) return Promise.resolve();
    return new Promise((resolve, reject) => {
      const timeout = this.#timer.after(COMMIT_TIMEOUT_MS, () => {
        reject(createCommitTimeoutError(shard.shard));
      });
      shard.waitForCommit(lsn, this.#timer.now())
        .then(resolve, reject)
        .finally(() => timeout.cancel());
    });
  }
}

function createCommitTimeoutError(shard: number) {
  const verdict: Verdict = "may_have_run";
  return new UnavailableError(
    `records of shard ${shard} were not committed within ${COMMIT_TIMEOUT_MS} ms`,
    {
      props: { verdict, retryAfterMs: COMMIT_RETRY_AFTER_MS },
    },
  );
}
