/** Completed turn. The record is immutable. */
export interface TurnRecord {
  kind: "turn";
  /** Request id of the turn, scoped by its owner: see {@link scopedId}. */
  id: string;
  /** Organisation that the turn belongs to; undefined if it belongs to none. */
  owner?: string | undefined;
  /** Prompt and output so far, to which the next turn's input is appended. */
  prompt: Uint8Array;
  /** Upstream that ran the turn and has cached its prompt. */
  upstream: string;
  /** Size of `prompt` and of the output of all previous turns, in tokens. */
  tokens: number;
  /** Wall-clock time after which the record may be evicted, in ms. */
  expiresAt: number;
}

/** Output tokens that a turn of a program has reserved or used. */
export interface SpendRecord {
  kind: "spend";
  /** Program id, scoped by its owner: see {@link scopedId}. */
  program: string;
  turn: string;
  /** Maximum number of output tokens of the turn. */
  reserved: number;
  /** Output tokens that the turn used; undefined while unknown. */
  settled: number | undefined;
  /** Upstream with the cached prompt, for routing the program's next turn. */
  hint: PromptHint | undefined;
  /** Where the turn's stream began; undefined if it cannot be resumed. */
  origin?: StreamOrigin | undefined;
  /** Wall-clock time in ms until which the record is kept by itself. */
  expiresAt: number;
  /**
   * Wall-clock time in ms until which it is kept because later turns of the
   * program are; undefined if it was not renewed.
   */
  keptUntil?: number | undefined;
}

/**
 * Upstream whose software writes the events of a stream. Streams of different
 * software do not fit together.
 */
export interface StreamOrigin {
  service: string;
  /** Version of the software; undefined if it is not known. */
  softwareVersion: string | undefined;
  upstream: string;
  /**
   * Start time of the upstream's process, in ms since the epoch; missing from
   * records of earlier builds.
   */
  startedAt?: number;
  /**
   * Position among the upstreams that were asked to begin the stream. Only the
   * last one can have written events.
   */
  ordinal: number;
}

/** Returns the later of two origins of the same stream. */
export function laterOrigin(
  a: StreamOrigin | undefined,
  b: StreamOrigin | undefined,
): StreamOrigin | undefined {
  if (!a || !b) return a ?? b;
  return b.ordinal > a.ordinal ? b : a;
}

/**
 * Returns the origin of a stream that is one of several, if all of them have
 * the same software; undefined otherwise.
 */
export function commonOrigin(
  origins: readonly StreamOrigin[],
): StreamOrigin | undefined {
  const [first] = origins;
  const isCommon = origins.every((it) => softwareOf(it) === softwareOf(first));
  return isCommon ? first : undefined;
}

/** Identifies the software of an origin. */
function softwareOf(origin: StreamOrigin | undefined): string {
  const { service, softwareVersion, upstream, startedAt } = origin ?? {};
  // A restarted upstream may run other software.
  return JSON.stringify(
    softwareVersion === undefined
      ? [service, false, upstream, startedAt]
      : [service, true, softwareVersion],
  );
}

/** Records which upstream last prefilled the prompt of a conversation. */
export interface PromptHint {
  /**
   * Parts of the prompt in order, with their sizes in tokens. The last part
   * belongs to this conversation alone and includes the turn's output.
   */
  parts: { id: string; tokens: number }[];
  upstream: string;
  /**
   * Start time of the upstream's process, in ms since the epoch; missing from
   * records of earlier builds.
   */
  startedAt?: number;
}

/** Any record that a replica stores. */
export type TurnLogRecord = TurnRecord | SpendRecord;

/** Reserved and settled tokens of one program, by turn id. */
export type Spending = Record<string, { reserved: number; settled?: number }>;

const TURN_PREFIX = "turn/";
/** Occurs in no header value, and therefore in no id that a caller chooses. */
const OWNER_SEPARATOR = "\u0000";

/**
 * Returns the id under which a turn or program of an organisation is stored.
 * Callers choose ids, so those of different organisations may be equal. An id
 * without an owner stays as it is.
 */
export function scopedId(owner: string | undefined, id: string): string {
  return owner === undefined ? id : owner + OWNER_SEPARATOR + id;
}

/** Returns the key of a turn's record. */
export function keyOfTurn(id: string): string {
  return TURN_PREFIX + id;
}

/** Returns the turn id of a key; undefined if it is not a turn's key. */
export function turnIdOfKey(key: string): string | undefined {
  return key.startsWith(TURN_PREFIX)
    ? key.slice(TURN_PREFIX.length)
    : undefined;
}

/** Returns the key of a program's spending records. */
export function keyOfProgram(program: string): string {
  return `program/${program}`;
}

/** Returns the wall-clock time in ms after which a record may be dropped. */
export function retainedUntil(record: TurnLogRecord): number {
  if (record.kind === "turn") return record.expiresAt;
  return Math.max(record.expiresAt, record.keptUntil ?? 0);
}

/** Returns the key of a record. */
export function keyOfRecord(record: TurnLogRecord): string {
  return record.kind === "turn"
    ? keyOfTurn(record.id)
    : keyOfProgram(record.program);
}
