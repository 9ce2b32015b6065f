import { ByteCollector } from "@toucantrestle/memory";

/** One server-sent event. */
export interface StreamEvent {
  /** Index of its end, empty line included, in the bytes of its `SplitEvents`. */
  end: number;
  id: string | undefined;
  /** Values of the data lines, joined by line feeds. */
  data: string;
}

/** Events that a part of a stream completes. */
export interface SplitEvents {
  /** Unmodified bytes of all of them. */
  bytes: Buffer;
  events: StreamEvent[];
}

/** A longer event than this, in bytes, is not one. */
const MAX_EVENT_BYTES = 262_144;
/** Bytes before the last one of the longest delimiter of events. */
const MAX_DELIMITER_PREFIX_BYTES = 3;
const LF = 0x0a;
const CR = 0x0d;
const NO_BYTES = Buffer.alloc(0);

/** Splits a byte stream into complete events. */
export class EventSplitter {
  /** Beginning of the incomplete event. */
  readonly #pending = new ByteCollector({ maxBytes: MAX_EVENT_BYTES });
  /** Last pending bytes, in which a delimiter may have begun. */
  #lastPending: Buffer = NO_BYTES;
  #eventCount = 0;

  /** Number of complete events. */
  get eventCount(): number {
    return this.#eventCount;
  }

  /** Size of the incomplete event in the buffer, in bytes. */
  get partialEventBytes(): number {
    return this.#pending.bytes;
  }

  /** Whether the incomplete event is too long; then nothing is kept of it. */
  get isTooLong(): boolean {
    return this.#pending.hasOverflowed;
  }

  /** Memory that is kept for the incomplete event, in bytes. */
  get keptBytes(): number {
    return this.#pending.keptBytes;
  }

  /** Appends a chunk and returns the events that it completes. */
  push(chunk: Buffer): SplitEvents {
    const ends = this.#endsIn(chunk);
    const lastEnd = ends.at(-1) ?? 0;
    const pendingBytes = this.#pending.bytes;
    const bytes = lastEnd > 0 ? this.#complete(chunk, lastEnd) : NO_BYTES;
    const events: StreamEvent[] = [];
    let start = 0;
    for (const end of ends) {
      events.push(parseEvent(bytes, { start, end: pendingBytes + end }));
      start = pendingBytes + end;
    }
    this.#eventCount += events.length;
    this.#keep(chunk.subarray(lastEnd));
    return { bytes, events };
  }

  /** Returns all bytes up to an end; most events begin and end in one chunk. */
  #complete(chunk: Buffer, end: number): Buffer {
    const last = chunk.subarray(0, end);
    this.#lastPending = NO_BYTES;
    if (this.#pending.bytes === 0) return last;
    return Buffer.concat([this.#pending.take(), last]);
  }

  #keep(rest: Buffer): void {
    if (rest.length === 0) return;
    this.#pending.push(rest);
    this.#lastPending = rest.length >= MAX_DELIMITER_PREFIX_BYTES
      ? Buffer.from(rest.subarray(-MAX_DELIMITER_PREFIX_BYTES))
      : Buffer.concat([this.#lastPending, rest])
        .subarray(-MAX_DELIMITER_PREFIX_BYTES);
  }

  /** Returns the indices in a chunk after each empty line that ends an event. */
  #endsIn(chunk: Buffer): number[] {
    const ends: number[] = [];
    let before = this.#lastPending;
    let start = 0;
    for (let at = chunk.indexOf(LF); at >= 0; at = chunk.indexOf(LF, at + 1)) {
      if (!endsEvent(chunk, { at, start, before })) continue;
      ends.push(at + 1);
      start = at + 1;
      before = NO_BYTES;
    }
    return ends;
  }
}

/**
 * Whether the line feed at an index ends an empty line. The event begins at
 * `start`, behind the bytes of it that came `before`.
 */
function endsEvent(
  chunk: Buffer,
  { at, start, before }: { at: number; start: number; before: Buffer },
): boolean {
  const last = at > start ? chunk[at - 1] : before.at(-1);
  if (last !== CR) return last === LF;
  const byteBefore = (distance: number) => {
    const index = at - distance;
    return index >= start ? chunk[index] : before.at(index - start);
  };
  return byteBefore(2) === LF && byteBefore(3) === CR;
}

function parseEvent(
  bytes: Buffer,
  { start, end: eventEnd }: { start: number; end: number },
): StreamEvent {
  const text = bytes.toString("utf8", start, eventEnd);
  let id: string | undefined;
  let data: string | undefined;
  let lineStart = 0;
  while (lineStart < text.length) {
    const lf = text.indexOf("\n", lineStart);
    const end = lf < 0 ? text.length : lf;
    const line = text.slice(lineStart, text[end - 1] === "\r" ? end - 1 : end);
    lineStart = end + 1;
    const colon = line.indexOf(":");
    if (colon <= 0) continue;
    const value = line.slice(line[colon + 1] === " " ? colon + 2 : colon + 1);
    const name = line.slice(0, colon);
    if (name === "data") {
      data = data === undefined ? value : `${data}\n${value}`;
    } else if (name === "id") id = value;
  }
  return { end: eventEnd, id, data: data ?? "" };
}
