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
import { relocated } from "./errors.ts";

/** Whether an owner still serves its shard. */
export type OwnedState = "serving" | "draining" | "lost";

/** A call that is in progress in this process. */
export interface Attempt {
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

/** A shard that this daemon owns: ledgers and journal. */
export class OwnedShard {
  readonly shard: number;
  readonly ledgers: Ledgers;
  readonly tracker: CommitTracker;
  /** Calls in progress by program. */
  readonly attempts = new Map<string, Attempt>();
  /** Last entry sent to each holder, by run and log generation. */
  readonly sentUpTo = new Map<string, number>();
  record: ShardRecord;
  /** Revision of the shard's record, which guards all writes. */
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

  /** Entries that are not flushed yet, oldest first. */
  get unflushed(): readonly JournalEntry[] {
    return this.#unflushed;
  }

  get unflushedBytes(): number {
    return this.#unflushedBytes;
  }

  /** When the oldest waiter began to wait, or undefined. */
  get waitingSince(): number | undefined {
    return this.#waiters[0]?.since;
  }

  /**
   * Applies a record and appends it to the journal.
   *
   * @returns its log sequence number
   */
  append(record: JournalRecord): number {
    if (this.state === "lost") throw relocated(this.shard, "not_run");
    applyRecord(this.ledgers, record);
    return this.#push(record);
  }

  /** Appends the whole state of all programs, which is in force already. */
  appendSnapshot(): void {
    for (const ledger of this.ledgers.values()) {
      const { program } = ledger;
      this.#push({ kind: "program_restored", program, ledger });
    }
  }

  #push(record: JournalRecord): number {
    const entry = encodeEntry(this.#nextLsn, record);
    this.#nextLsn += 1;
    this.#unflushed.push(entry);
    this.#unflushedBytes += entry.json.length;
    return entry.lsn;
  }

  /** Resolves when everything up to `lsn` is kept. */
  kept(lsn: number, now: number): Promise<void> {
    if (lsn <= this.tracker.committedUpTo) return Promise.resolve();
    if (this.state === "lost") {
      return Promise.reject(relocated(this.shard, "may_have_run"));
    }
    return new Promise((resolve, reject) => {
      this.#waiters.push({ lsn, since: now, resolve, reject });
    });
  }

  /** Resolves the waiters whose records are kept by now. */
  settleWaiters(): void {
    const { committedUpTo: keptUpTo } = this.tracker;
    const due = this.#waiters.filter((it) => it.lsn <= keptUpTo);
    if (due.length === 0) return;
    this.#waiters = this.#waiters.filter((it) => it.lsn > keptUpTo);
    for (const waiter of due) waiter.resolve();
  }

  /** Notes that everything up to `lsn` stands in the platform's service. */
  flushed(lsn: number): void {
    this.tracker.markFlushed(lsn);
    this.#unflushed = this.#unflushed.filter((it) => it.lsn > lsn);
    this.#unflushedBytes = this.#unflushed
      .reduce((sum, it) => sum + it.json.length, 0);
    this.settleWaiters();
  }

  /** Stops serving: another daemon owns the shard now. */
  lose(): void {
    if (this.state === "lost") return;
    this.state = "lost";
    const waiters = this.#waiters;
    this.#waiters = [];
    for (const waiter of waiters) {
      waiter.reject(relocated(this.shard, "may_have_run"));
    }
  }

  /** Journals that entries are sent to. */
  logs(): ShardLog[] {
    return this.tracker.logs;
  }
}
