import {
  keyOfProgram,
  keyOfRecord,
  keyOfTurn,
  laterOrigin,
  type PromptHint,
  retainedUntil,
  type Spending,
  type SpendRecord,
  type StreamOrigin,
  turnIdOfKey,
  type TurnLogRecord,
  type TurnRecord,
} from "./record.ts";
import { replicasOf, type View } from "./view.ts";

/** Options of a {@link Replica}. */
export interface ReplicaOptions {
  /** Identity of the replica's disk contents. */
  id: string;
}

/** Reply to a reservation, with the known spending of the program. */
export interface ReserveReply {
  spending: Spending;
  /** Record that must be persisted before the reply is sent. */
  record: SpendRecord;
}

/** Record that is on disk and not yet loaded into memory. */
export interface DeferredRecord {
  key: string;
  expiresAt: number;
  /** Loads the record from disk; throws if it cannot be read. */
  read(): TurnLogRecord;
}

/** Lists a replica's records, to find those that another replica lacks. */
export interface Inventory {
  turns: string[];
  spends: SpendRecord[];
}

interface ProgramState {
  spends: Map<string, SpendRecord>;
  /** By the id of the last prompt part, which is unique to a conversation. */
  hints: Map<string, PromptHint>;
  expiresAt: number;
}

/**
 * In-memory state of one replica. It serves reads of a key only if it is
 * certain to have all records of the key that quorums of earlier views stored.
 */
export class Replica {
  readonly #id: string;
  readonly #turns = new Map<string, TurnRecord>();
  readonly #programs = new Map<string, ProgramState>();
  /** Records found on disk at a restart and not yet loaded, by key. */
  readonly #deferred = new Map<string, DeferredRecord[]>();
  #view: View | undefined;
  #base: View | undefined;
  #isComplete = false;
  #bytes = 0;

  constructor(opts: ReplicaOptions) {
    this.#id = opts.id;
  }

  get view(): View | undefined {
    return this.#view;
  }

  /** Whether all records that the current view assigns here have been copied. */
  get isComplete(): boolean {
    return this.#isComplete;
  }

  /**
   * Last view in which this replica was complete; undefined if it has missed a
   * view since.
   */
  get base(): View | undefined {
    return this.#base;
  }

  /** Total size of the prompts in memory, in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Number of turns in memory. */
  get turnCount(): number {
    return this.#turns.size;
  }

  /** Restores the view state that was persisted before a restart. */
  restore(saved: { view: View; base: View | undefined; isComplete: boolean }) {
    this.#view = saved.view;
    this.#base = saved.base;
    this.#isComplete = saved.isComplete;
  }

  /**
   * Adopts a newer view and ignores an older one. Returns whether the view
   * changed.
   */
  adoptView(view: View): boolean {
    if (this.#view && view.number <= this.#view.number) return false;
    const isNext = this.#base?.number === view.number - 1;
    if (!isNext) this.#base = undefined;
    this.#view = view;
    // No records exist before the first view, so there is nothing to copy.
    const isFirstMember = view.number === 1 &&
      view.members.some((it) => it.id === this.#id);
    this.#isComplete = isFirstMember;
    if (this.#isComplete) this.#base = view;
    return true;
  }

  /**
   * Marks all records of a view as copied. Returns false if the view is no
   * longer current.
   */
  markComplete(viewNumber: number): boolean {
    if (this.#view?.number !== viewNumber) return false;
    this.#isComplete = true;
    this.#base = this.#view;
    return true;
  }

  /** Returns whether this replica may serve reads of a key. */
  canServe(key: string): boolean {
    const view = this.#view;
    if (!view || !this.#isReplica(view, key)) return false;
    if (this.#isComplete) return true;
    return this.#base !== undefined && this.#isReplica(this.#base, key);
  }

  /**
   * Returns whether this replica may write records of a key in the current
   * view. It need not have copied earlier records: the new record is persisted
   * in any case, and readers get earlier records from other replicas.
   */
  canStore(key: string): boolean {
    return this.#view !== undefined && this.#isReplica(this.#view, key);
  }

  /** Returns a turn, loaded from disk if needed; undefined if not stored. */
  findTurn(id: string): TurnRecord | undefined {
    this.#loadKey(keyOfTurn(id));
    return this.#turns.get(id);
  }

  /** Returns whether a turn is stored, without loading it. */
  hasTurn(id: string): boolean {
    return this.#turns.has(id) || this.#deferred.has(keyOfTurn(id));
  }

  /**
   * Registers a record that is loaded through `read` on first access. Loading
   * all records after a restart would keep callers waiting.
   */
  applyDeferred(record: DeferredRecord): void {
    const deferred = this.#deferred.get(record.key);
    if (deferred) deferred.push(record);
    else this.#deferred.set(record.key, [record]);
  }

  /**
   * Applies a record. Records are immutable or only gain information, so they
   * may arrive in any order.
   */
  apply(record: TurnLogRecord): void {
    this.#loadKey(keyOfRecord(record));
    if (record.kind === "turn") this.#applyTurn(record);
    else this.#applySpend(record);
  }

  /** Returns the spending of a program that this replica has stored. */
  spendingOf(program: string): Spending {
    this.#loadKey(keyOfProgram(program));
    const spending: Spending = {};
    for (const it of this.#programs.get(program)?.spends.values() ?? []) {
      spending[it.turn] = it.settled === undefined
        ? { reserved: it.reserved }
        : { reserved: it.reserved, settled: it.settled };
    }
    return spending;
  }

  /** Returns the turns of a program whose records expire before a time. */
  turnsExpiringBefore(program: string, time: number): string[] {
    this.#loadKey(keyOfProgram(program));
    const spends = this.#programs.get(program)?.spends.values() ?? [];
    return [...spends].filter((it) => it.expiresAt < time)
      .map((it) => it.turn);
  }

  /**
   * Returns the records that have expired on disk although their program has
   * not, with the time until which they are to be kept. Those that are only on
   * disk are loaded, because their file may be deleted next.
   *
   * @throws if a record cannot be read
   */
  renewalsDue(now: number): SpendRecord[] {
    for (const [key, all] of this.#deferred) {
      const expired = all.filter((it) => it.expiresAt <= now).length;
      if (expired > 0 && expired < all.length) this.#loadKey(key);
    }
    const due: SpendRecord[] = [];
    for (const { spends, expiresAt } of this.#programs.values()) {
      for (const it of spends.values()) {
        const until = retainedUntil(it);
        if (until > now || expiresAt <= now) continue;
        due.push({ ...it, keptUntil: expiresAt });
      }
    }
    return due;
  }

  /** Returns where the stream of a program's turn began, if it is stored. */
  originOf(program: string, turn: string): StreamOrigin | undefined {
    this.#loadKey(keyOfProgram(program));
    return this.#programs.get(program)?.spends.get(turn)?.origin;
  }

  /** Returns where the streams of a program began that may be resumed. */
  originsOf(program: string): StreamOrigin[] {
    this.#loadKey(keyOfProgram(program));
    const spends = this.#programs.get(program)?.spends.values() ?? [];
    return [...spends].flatMap((it) => it.origin ?? []);
  }

  /** Returns the latest prompt hint of each conversation of a program. */
  hintsOf(program: string): PromptHint[] {
    this.#loadKey(keyOfProgram(program));
    return [...this.#programs.get(program)?.hints.values() ?? []];
  }

  /** Lists the records stored here whose keys a view assigns to a member. */
  inventoryFor(view: View, member: string): Inventory {
    this.#loadPrograms();
    const isWanted = (key: string) =>
      replicasOf(view, key).some((it) => it.id === member);
    const deferredIds = [...this.#deferred.keys()].map((it) => turnIdOfKey(it));
    const turns = [...this.#turns.keys(), ...deferredIds]
      .filter((it) => it !== undefined)
      .filter(isWanted);
    const spends: SpendRecord[] = [];
    for (const [name, program] of this.#programs) {
      if (isWanted(name)) spends.push(...program.spends.values());
    }
    return { turns, spends };
  }

  /**
   * Evicts expired turns and programs. The spending of a program is kept as a
   * whole until its last record expires.
   */
  sweep(now: number): void {
    for (const [key, all] of this.#deferred) {
      if (all.every((it) => it.expiresAt <= now)) this.#deferred.delete(key);
    }
    for (const [id, turn] of this.#turns) {
      if (turn.expiresAt > now) continue;
      this.#turns.delete(id);
      this.#bytes -= turn.prompt.length;
    }
    for (const [name, program] of this.#programs) {
      if (program.expiresAt > now) continue;
      this.#programs.delete(name);
    }
  }

  /** Iterates over all records, for tests and reports. */
  *records(): Iterable<TurnLogRecord> {
    this.#loadAll();
    yield* this.#turns.values();
    for (const program of this.#programs.values()) {
      yield* program.spends.values();
    }
  }

  #loadAll(): void {
    for (const key of [...this.#deferred.keys()]) this.#loadKey(key);
  }

  #loadPrograms(): void {
    for (const key of [...this.#deferred.keys()]) {
      if (turnIdOfKey(key) === undefined) this.#loadKey(key);
    }
  }

  /**
   * Loads the deferred records of a key. If a read throws, they stay deferred,
   * so that an unreadable record is never reported as absent.
   */
  #loadKey(key: string): void {
    const deferred = this.#deferred.get(key);
    if (!deferred) return;
    const records = deferred.map((it) => it.read());
    this.#deferred.delete(key);
    for (const record of records) this.apply(record);
  }

  #isReplica(view: View, key: string): boolean {
    return replicasOf(view, key).some((it) => it.id === this.#id);
  }

  #applyTurn(record: TurnRecord): void {
    if (this.#turns.has(record.id)) return;
    this.#turns.set(record.id, record);
    this.#bytes += record.prompt.length;
  }

  #applySpend(record: SpendRecord): void {
    let program = this.#programs.get(record.program);
    if (!program) {
      program = { spends: new Map(), hints: new Map(), expiresAt: 0 };
      this.#programs.set(record.program, program);
    }
    program.expiresAt = Math.max(program.expiresAt, retainedUntil(record));
    const known = program.spends.get(record.turn);
    const shared = {
      origin: laterOrigin(known?.origin, record.origin),
      keptUntil: laterTime(known?.keptUntil, record.keptUntil),
    };
    if (known?.settled !== undefined) {
      program.spends.set(record.turn, { ...known, ...shared });
      return;
    }
    program.spends.set(record.turn, { ...record, ...shared });
    const lastPart = record.hint?.parts.at(-1);
    if (record.hint && lastPart) program.hints.set(lastPart.id, record.hint);
  }
}

/** Returns the later of two times, each of which may be undefined. */
function laterTime(
  a: number | undefined,
  b: number | undefined,
): number | undefined {
  return a === undefined || b === undefined ? a ?? b : Math.max(a, b);
}
