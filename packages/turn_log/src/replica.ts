import {
  keyOfProgram,
  keyOfRecord,
  keyOfTurn,
  type PromptHint,
  type Spending,
  type SpendRecord,
  type TurnLogRecord,
  turnOfKey,
  type TurnRecord,
} from "./record.ts";
import { replicasOf, type View } from "./view.ts";

/** Settings of one replica. */
export interface ReplicaOptions {
  /** Identity of this replica's disk. */
  id: string;
}

/** Reply to a reservation: everything known of the program's spending. */
export interface ReserveReply {
  spending: Spending;
  /** Record to be written to the disk before the reply is sent. */
  record: SpendRecord;
}

/** A record that is on the disk and not in memory. */
export interface UnreadRecord {
  key: string;
  expiresAt: number;
  /** Fetches it; throws when it cannot be read. */
  read(): TurnLogRecord;
}

/** What a replica holds, without contents, to find what another lacks. */
export interface Inventory {
  turns: string[];
  spends: SpendRecord[];
}

interface Program {
  spends: Map<string, SpendRecord>;
  /** By the part that a line of turns has to itself. */
  hints: Map<string, PromptHint>;
  expiresAt: number;
}

/**
 * State of one replica. It answers for a key only when it surely has all that
 * a quorum of an earlier view kept for it.
 */
export class Replica {
  readonly #id: string;
  readonly #turns = new Map<string, TurnRecord>();
  readonly #programs = new Map<string, Program>();
  /** Records of a restart that nobody has asked for yet, by their key. */
  readonly #unread = new Map<string, UnreadRecord[]>();
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

  /** True when everything that the current view asks for has been copied. */
  get isComplete(): boolean {
    return this.#isComplete;
  }

  /** View in which this replica was last complete. */
  get base(): View | undefined {
    return this.#base;
  }

  /** Bytes of prompts in memory. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Turns in memory. */
  get turnCount(): number {
    return this.#turns.size;
  }

  /** Takes up what was written to the disk before a restart. */
  restore(saved: { view: View; base: View | undefined; isComplete: boolean }) {
    this.#view = saved.view;
    this.#base = saved.base;
    this.#isComplete = saved.isComplete;
  }

  /**
   * Moves to a newer view; an older one is ignored. Returns true where it
   * moved.
   */
  adoptView(view: View): boolean {
    if (this.#view && view.number <= this.#view.number) return false;
    const isNext = this.#base?.number === view.number - 1;
    if (!isNext) this.#base = undefined;
    this.#view = view;
    // Nothing was kept before the first view.
    const isFirstMember = view.number === 1 &&
      view.members.some((it) => it.id === this.#id);
    this.#isComplete = isFirstMember;
    if (this.#isComplete) this.#base = view;
    return true;
  }

  /** Marks the current view's records as copied, unless the view has moved. */
  markComplete(viewNumber: number): boolean {
    if (this.#view?.number !== viewNumber) return false;
    this.#isComplete = true;
    this.#base = this.#view;
    return true;
  }

  /** Whether this replica may answer for a key in the current view. */
  canServe(key: string): boolean {
    const view = this.#view;
    if (!view || !this.#isReplica(view, key)) return false;
    if (this.#isComplete) return true;
    return this.#base !== undefined && this.#isReplica(this.#base, key);
  }

  /**
   * Whether this replica may write a record of a key in the current view. It
   * need not have copied what was kept before: the record is on its disk all
   * the same, and readers ask others for the past.
   */
  canKeep(key: string): boolean {
    return this.#view !== undefined && this.#isReplica(this.#view, key);
  }

  findTurn(id: string): TurnRecord | undefined {
    this.#readKey(keyOfTurn(id));
    return this.#turns.get(id);
  }

  /** Whether a turn is known. */
  hasTurn(id: string): boolean {
    return this.#turns.has(id) || this.#unread.has(keyOfTurn(id));
  }

  /**
   * Notes a record that `read` fetches. After a restart many records wait, and
   * callers with them: only those that are asked for are fetched.
   */
  applyLater(record: UnreadRecord): void {
    const waiting = this.#unread.get(record.key);
    if (waiting) waiting.push(record);
    else this.#unread.set(record.key, [record]);
  }

  /** Enters a record. Records are immutable or only grow, so order is free. */
  apply(record: TurnLogRecord): void {
    this.#readKey(keyOfRecord(record));
    if (record.kind === "turn") this.#applyTurn(record);
    else this.#applySpend(record);
  }

  /** Spending of a program as this replica knows it. */
  spendingOf(program: string): Spending {
    this.#readKey(keyOfProgram(program));
    const spending: Spending = {};
    for (const it of this.#programs.get(program)?.spends.values() ?? []) {
      spending[it.turn] = it.settled === undefined
        ? { reserved: it.reserved }
        : { reserved: it.reserved, settled: it.settled };
    }
    return spending;
  }

  /** Where the prompts of a program were last read. */
  hintsOf(program: string): PromptHint[] {
    this.#readKey(keyOfProgram(program));
    return [...this.#programs.get(program)?.hints.values() ?? []];
  }

  /** What this replica holds of the keys that a member of a view keeps. */
  inventoryFor(view: View, member: string): Inventory {
    this.#readPrograms();
    const isWanted = (key: string) =>
      replicasOf(view, key).some((it) => it.id === member);
    const unread = [...this.#unread.keys()].map((it) => turnOfKey(it));
    const turns = [...this.#turns.keys(), ...unread]
      .filter((it) => it !== undefined)
      .filter(isWanted);
    const spends: SpendRecord[] = [];
    for (const [name, program] of this.#programs) {
      if (isWanted(name)) spends.push(...program.spends.values());
    }
    return { turns, spends };
  }

  /** Forgets what has expired. */
  sweep(now: number): void {
    for (const [key, waiting] of this.#unread) {
      if (waiting.every((it) => it.expiresAt <= now)) this.#unread.delete(key);
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

  /** All records, for tests and reports. */
  *records(): Iterable<TurnLogRecord> {
    this.#readAll();
    yield* this.#turns.values();
    for (const program of this.#programs.values()) {
      yield* program.spends.values();
    }
  }

  #readAll(): void {
    for (const key of [...this.#unread.keys()]) this.#readKey(key);
  }

  #readPrograms(): void {
    for (const key of [...this.#unread.keys()]) {
      if (turnOfKey(key) === undefined) this.#readKey(key);
    }
  }

  /** What cannot be read stays unread, so that it never looks absent. */
  #readKey(key: string): void {
    const waiting = this.#unread.get(key);
    if (!waiting) return;
    const records = waiting.map((it) => it.read());
    this.#unread.delete(key);
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
    program.expiresAt = Math.max(program.expiresAt, record.expiresAt);
    const known = program.spends.get(record.turn);
    if (known?.settled !== undefined) return;
    program.spends.set(record.turn, record);
    const own = record.hint?.parts.at(-1);
    if (record.hint && own) program.hints.set(own.id, record.hint);
  }
}
