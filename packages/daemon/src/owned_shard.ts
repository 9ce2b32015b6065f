import {
  CommitTracker,
  type ShardLog,
  type ShardRecord,
} from "@toucantrestle/membership";
import {
  applyRecord,
  encodeEntry,
  type JournalEntry,
  type JournalRecord,
  type Ledgers,
  type Outcome,
} from "@toucantrestle/program";
import { createRelocatedError } from "./errors.ts";

/** Whether a daemon serves, drains or has lost a shard. */
export type OwnedState = "serving" | "draining" | "lost";

/** A call that is in flight in this process. */
export interface InFlightCall {
  requestId: string;
  fingerprint: string;
  outcome: Promise<Outcome>;
}

interface Waiter {
  lsn: number;
  since: number;
  resolve: () => void;
  reject: (err: Error) => void;
}

/** A shard that this daemon owns, with its ledgers and its journal. */
export class OwnedShard {
  readonly shard: number;
  readonly ledgers: Ledgers;
  readonly tracker: CommitTracker;
  /** Calls in flight by program. */
  readonly callsInFlight = new Map<string, InFlightCall>();
  /** LSN of the last entry sent to each holder, by run and log generation. */
  readonly sentUpTo = new Map<string, number>();
  record: ShardRecord;
  /**
   * Revision of the shard's record. Writes of the record and of new chunks are
   * conditional on it, which fences this daemon off after a takeover.
   */
  modRevision: number;
  nextChunk: number;
  state: OwnedState = "serving";
  #nextLsn: number;
  #unflushed: JournalEntry[] = [];
  #unflushedBytes = 0;
  #waiters: Waiter[] = [];

  constructor(
    opts: {
      record: ShardRecord;
      modRevision: number;
      ledgers: Ledgers;
      lastLsn: number;
      nextChunk: number;
    },
  ) {
    this.shard = opts.record.shard;
    this.record = opts.record;
    this.modRevision = opts.modRevision;
    this.ledgers = opts.ledgers;
    this.nextChunk = opts.nextChunk;
    this.#nextLsn = opts.lastLsn + 1;
    this.tracker = new CommitTracker(opts.record.log, opts.lastLsn);
  }

  get epoch(): number {
    return this.record.epoch;
  }

  get lastLsn(): number {
    return this.#nextLsn - 1;
  }

  /** Entries that are not flushed to the service yet, oldest first. */
  get unflushed(): readonly JournalEntry[] {
    return this.#unflushed;
  }

  get unflushedBytes(): number {
    return this.#unflushedBytes;
  }

  /** Time at which the oldest waiter began to wait, or undefined. */
  get oldestWaitSince(): number | undefined {
    return this.#waiters[0]?.since;
  }

  /**
   * Applies a record and appends it to the journal.
   *
   * @returns the log sequence number (LSN) of its entry
   */
  append(record: JournalRecord): number {
    if (this.state === "lost") {
      throw createRelocatedError(this.shard, "not_run");
    }
    applyRecord(this.ledgers, record);
    return this.#pushEntry(record);
  }

  /**
   * Appends a snapshot of all programs to the journal. The ledgers contain this
   * state already and stay unchanged.
   */
  appendSnapshot(): void {
    for (const ledger of this.ledgers.values()) {
      const { program } = ledger;
      this.#pushEntry({ kind: "program_restored", program, ledger });
    }
  }

  #pushEntry(record: JournalRecord): number {
    const entry = encodeEntry(this.#nextLsn, record);
    this.#nextLsn += 1;
    this.#unflushed.push(entry);
    this.#unflushedBytes += entry.json.length;
    return entry.lsn;
  }

  /**
   * Resolves when all entries up to `lsn` are committed: acknowledged by a
   * quorum of holders or flushed to the key-value service.
   */
  waitForCommit(lsn: number, now: number): Promise<void> {
    if (lsn <= this.tracker.committedUpTo) return Promise.resolve();
    if (this.state === "lost") {
      return Promise.reject(createRelocatedError(this.shard, "may_have_run"));
    }
    return new Promise((resolve, reject) => {
      this.#waiters.push({ lsn, since: now, resolve, reject });
    });
  }

  /** Resolves the waiters whose entries are committed. */
  resolveWaiters(): void {
    const { committedUpTo } = this.tracker;
    const due = this.#waiters.filter((it) => it.lsn <= committedUpTo);
    if (due.length === 0) return;
    this.#waiters = this.#waiters.filter((it) => it.lsn > committedUpTo);
    for (const waiter of due) waiter.resolve();
  }

  /** Records that all entries up to `lsn` are stored in the service. */
  markFlushed(lsn: number): void {
    this.tracker.markFlushed(lsn);
    this.#unflushed = this.#unflushed.filter((it) => it.lsn > lsn);
    this.#unflushedBytes = this.#unflushed
      .reduce((sum, it) => sum + it.json.length, 0);
    this.resolveWaiters();
  }

  /** Stops serving the shard, which another daemon owns now. */
  markLost(): void {
    if (this.state === "lost") return;
    this.state = "lost";
    const waiters = this.#waiters;
    this.#waiters = [];
    for (const waiter of waiters) {
      waiter.reject(createRelocatedError(this.shard, "may_have_run"));
    }
  }

  /** Logs that receive new entries: two during a rotation, otherwise one. */
  activeLogs(): ShardLog[] {
    return this.tracker.logs;
  }
}
