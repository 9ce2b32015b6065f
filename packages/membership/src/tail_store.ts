import type { JournalEntry } from "@toucantrestle/program";
import { compareLogIds, type LogId } from "./shard.ts";

/** A holder's copy of one journal's unflushed tail. */
export interface Tail {
  log: LogId;
  entries: JournalEntry[];
  /** Bytes of the entries as they were received. */
  bytes: number;
}

/** Entries that an owner sends to a holder. */
export interface AppendInput {
  shard: number;
  log: LogId;
  /** The owner has flushed everything up to this record. */
  flushedUpTo: number;
  entries: JournalEntry[];
  bytes: number;
}

/** A holder's answer to an append. */
export type AppendResult =
  | { kind: "kept"; upTo: number }
  /** Entries are missing before the first one sent. */
  | { kind: "gap"; expected: number }
  /** A successor has sealed the owner's epoch. */
  | { kind: "sealed"; epoch: number }
  | { kind: "full" };

interface ShardTails {
  /** Appends of epochs below this one are refused. */
  sealedBelow: number;
  tails: Tail[];
}

/**
 * Write-behind buffer of other owners' journal tails, in memory and bounded in
 * bytes. It decides nothing: it keeps, trims and seals as it is told.
 */
export class TailStore {
  readonly #limitBytes: number;
  readonly #shards = new Map<number, ShardTails>();
  #bytes = 0;

  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  /** Bytes held for all shards. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Keeps entries that follow the ones kept before. */
  append(input: AppendInput): AppendResult {
    const state = this.#state(input.shard);
    if (input.log.epoch < state.sealedBelow) {
      return { kind: "sealed", epoch: state.sealedBelow };
    }
    const first = input.entries[0];
    if (!first) return { kind: "kept", upTo: 0 };
    const tail = this.#tail(state, input.log);
    const last = Math.max(tail.entries.at(-1)?.lsn ?? 0, input.flushedUpTo);
    if (first.lsn > last + 1) return { kind: "gap", expected: last + 1 };
    if (this.#bytes + input.bytes > this.#limitBytes) return { kind: "full" };
    const newest = tail.entries.at(-1)?.lsn ?? 0;
    const fresh = input.entries.filter((entry) => entry.lsn > newest);
    tail.entries.push(...fresh);
    if (fresh.length > 0) {
      tail.bytes += input.bytes;
      this.#bytes += input.bytes;
    }
    return { kind: "kept", upTo: tail.entries.at(-1)?.lsn ?? last };
  }

  /** Drops entries that are flushed, and journals older than `log`. */
  trim(shard: number, log: LogId, upTo: number): void {
    const state = this.#state(shard);
    for (const tail of state.tails) {
      if (compareLogIds(tail.log, log) < 0) this.#drop(state, tail);
      else if (compareLogIds(tail.log, log) === 0) this.#cut(tail, upTo);
    }
  }

  /** Refuses all epochs below `epoch` from now on and returns the tails. */
  seal(shard: number, epoch: number): Tail[] {
    const state = this.#state(shard);
    state.sealedBelow = Math.max(state.sealedBelow, epoch);
    return state.tails.filter((tail) => tail.log.epoch < epoch);
  }

  #state(shard: number): ShardTails {
    let state = this.#shards.get(shard);
    if (!state) {
      state = { sealedBelow: 0, tails: [] };
      this.#shards.set(shard, state);
    }
    return state;
  }

  #tail(state: ShardTails, log: LogId): Tail {
    let tail = state.tails.find((it) => compareLogIds(it.log, log) === 0);
    if (!tail) {
      tail = { log, entries: [], bytes: 0 };
      state.tails.push(tail);
    }
    return tail;
  }

  #drop(state: ShardTails, tail: Tail): void {
    this.#bytes -= tail.bytes;
    state.tails = state.tails.filter((it) => it !== tail);
  }

  #cut(tail: Tail, upTo: number): void {
    const before = tail.entries.length;
    if (before === 0) return;
    tail.entries = tail.entries.filter((entry) => entry.lsn > upTo);
    const bytes = Math.round(tail.bytes * tail.entries.length / before);
    this.#bytes -= tail.bytes - bytes;
    tail.bytes = bytes;
  }
}
