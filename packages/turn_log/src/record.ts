/** A turn that was answered whole. It never changes. */
export interface TurnRecord {
  kind: "turn";
  /** Request id of the turn. */
  id: string;
  /** Text that a next turn's input is appended to. */
  prompt: Uint8Array;
  /** Upstream that ran the turn, whose cache has its prompt. */
  upstream: string;
  /** Size of `prompt` and of what all turns before it produced, in tokens. */
  tokens: number;
  /** Wall-clock time in ms after which it may be forgotten. */
  expiresAt: number;
}

/** Tokens that one turn of a program may hand out, or has handed out. */
export interface SpendRecord {
  kind: "spend";
  program: string;
  turn: string;
  /** Most tokens that the turn may hand out. */
  reserved: number;
  /** Tokens that it did hand out; undefined while it is not known. */
  settled: number | undefined;
  /** Where the turn's prompt was read, for the next turn of the program. */
  hint: PromptHint | undefined;
  expiresAt: number;
}

/** Where the prompt of a line of turns was last read. */
export interface PromptHint {
  /**
   * Parts of the prompt in order, with their sizes in tokens. The last one,
   * which the line of turns has to itself, holds what the turn produced too.
   */
  parts: { id: string; tokens: number }[];
  upstream: string;
}

/** Everything that a replica keeps. */
export type TurnLogRecord = TurnRecord | SpendRecord;

/** Tokens by turn of one program. */
export type Spending = Record<string, { reserved: number; settled?: number }>;

const TURN_PREFIX = "turn/";

/** What a turn's record is found by. */
export function keyOfTurn(id: string): string {
  return TURN_PREFIX + id;
}

/** Id of the turn that a key finds; undefined for another kind of key. */
export function turnOfKey(key: string): string | undefined {
  return key.startsWith(TURN_PREFIX)
    ? key.slice(TURN_PREFIX.length)
    : undefined;
}

/** What the spending of a program is found by. */
export function keyOfProgram(program: string): string {
  return `program/${program}`;
}

/** What any record is found by. */
export function keyOfRecord(record: TurnLogRecord): string {
  return record.kind === "turn"
    ? keyOfTurn(record.id)
    : keyOfProgram(record.program);
}
