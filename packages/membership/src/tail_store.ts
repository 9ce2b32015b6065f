import type { JournalEntry } from "@toucantrestle/program";
import { compareLogIds, type LogId } from "./shard.ts";

/** Replica of one journal's unflushed tail, as stored by a holder. */
export interface Tail {
  log: LogId;
  entries: JournalEntry[];
  /** Size of the entries in bytes, as reported by the owner. */
  bytes: number;
}

/** Append request that a shard's owner sends to a holder. */
export interface AppendInput {
  shard: number;
  log: LogId;
  /** LSN of the last record that the owner has flushed. */
  flushedUpTo: number;
  entries: JournalEntry[];
  bytes: number;
}

/** Reply of a holder to an append. */
export type AppendResult =
  | { kind: "kept"; upTo: number }
  /** Entries before the first one are missing. `expected` is the LSN due next. */
  | { kind: "gap"; expected: number }
  /** The owner is fenced: a new owner has sealed the epochs below `epoch`. */
  | { kind: "sealed"; epoch: number }
  | { kind: "full" };

interface ShardTails {
  /** Appends with an epoch below this one are rejected. */
  sealedBelow: number;
  tails: Tail[];
}

/**
 * In-memory store for replicas of journal tails that other daemons own, bounded
 * in bytes. It is passive: owners append and trim, and new owners seal.
 */
export class TailStore {
  readonly #limitBytes: number;
  readonly #shards = new Map<number, ShardTails>();
  #bytes = 0;

  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  /** Total size of the stored tails of all shards in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  /**
   * Appends entries to a tail. Entries that the tail already contains are
   * skipped, so that a retry is idempotent.
   */
  append(input: AppendInput): AppendResult {
    const state = this.#shardTails(input.shard);
    if (input.log.epoch < state.sealedBelow) {
      return { kind: "sealed", epoch: state.sealedBelow };
    }
    const first = input.entries[0];
    if (!first) return { kind: "kept", upTo: 0 };
    const tail = this.#tailOf(state, input.log);
    const last = Math.max(tail.entries.at(-1)?.lsn ?? 0, input.flushedUpTo);
    if (first.lsn > last + 1) return { kind: "gap", expected: last + 1 };
    const lastLsn = tail.entries.at(-1)?.lsn ?? 0;
    const newEntries = input.entries.filter((entry) => entry.lsn > lastLsn);
    const newBytes = shareOfBytes(input, newEntries.length);
    if (this.#bytes + newBytes > this.#limitBytes) return { kind: "full" };
    tail.entries.push(...newEntries);
    tail.bytes += newBytes;
    this.#bytes += newBytes;
    return { kind: "kept", upTo: tail.entries.at(-1)?.lsn ?? last };
  }

  /** Drops entries of `log` up to LSN `upTo`, and tails older than `log`. */
  trim(shard: number, log: LogId, upTo: number): void {
    const state = this.#shardTails(shard);
    for (const tail of state.tails) {
      if (compareLogIds(tail.log, log) < 0) this.#dropTail(state, tail);
      else if (compareLogIds(tail.log, log) === 0) this.#truncate(tail, upTo);
    }
  }

  /**
   * Fences all epochs below `epoch`: later appends from them are rejected.
   * Returns the tails of these epochs.
   */
  seal(shard: number, epoch: number): Tail[] {
    const state = this.#shardTails(shard);
    state.sealedBelow = Math.max(state.sealedBelow, epoch);
    return state.tails.filter((tail) => tail.log.epoch < epoch);
  }

  #shardTails(shard: number): ShardTails {
    let state = this.#shards.get(shard);
    if (!state) {
      state = { sealedBelow: 0, tails: [] };
      this.#shards.set(shard, state);
    }
    return state;
  }

  #tailOf(state: ShardTails, log: LogId): Tail {
    let tail = state.tails.find((it) => compareLogIds(it.log, log) === 0);
    if (!tail) {
      tail = { log, entries: [], bytes: 0 };
      state.tails.push(tail);
    }
    return tail;
  }

  #dropTail(state: ShardTails, tail: Tail): void {
    this.#bytes -= tail.bytes;
    state.tails = state.tails.filter((it) => it !== tail);
  }

  #truncate(tail: Tail, upTo: number): void {
    if (tail.entries.length === 0) return;
    const remaining = tail.entries.filter((entry) => entry.lsn > upTo);
    const bytes = shareOfBytes(tail, remaining.length);
    this.#bytes -= tail.bytes - bytes;
    tail.entries = remaining;
    tail.bytes = bytes;
  }
}

/** Returns the bytes of `count` entries, as if all had the same size. */
function shareOfBytes(
  { entries, bytes }: { entries: JournalEntry[]; bytes: number },
  count: number,
): number {
  return Math.round(bytes * count / entries.length);
}
