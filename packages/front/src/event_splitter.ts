/** One server-sent event. */
export interface StreamEvent {
  /** Unmodified bytes of the event, including the empty line at its end. */
  bytes: Buffer;
  id: string | undefined;
  /** Values of the data lines, joined by line feeds. */
  data: string;
}

/** Bytes before the last one of the longest delimiter of events. */
const MAX_DELIMITER_PREFIX_BYTES = 3;

/** Splits a byte stream into complete events. */
export class EventSplitter {
  /** Parts of the incomplete event, which are joined only once. */
  #parts: Buffer[] = [];
  #pendingBytes = 0;
  #eventCount = 0;

  /** Number of complete events. */
  get eventCount(): number {
    return this.#eventCount;
  }

  /** Size of the incomplete event in the buffer, in bytes. */
  get partialEventBytes(): number {
    return this.#pendingBytes;
  }

  /** Appends a chunk and returns the events that it completes. */
  push(chunk: Buffer): StreamEvent[] {
    const events: StreamEvent[] = [];
    let rest = chunk;
    for (let end = this.#endIn(rest); end > 0; end = this.#endIn(rest)) {
      events.push(parseEvent(this.#joinParts(rest.subarray(0, end))));
      this.#pendingBytes = 0;
      rest = rest.subarray(end);
    }
    this.#eventCount += events.length;
    if (rest.length > 0) this.#parts.push(Buffer.from(rest));
    this.#pendingBytes += rest.length;
    return events;
  }

  /** Returns the event that `last` completes; most events are in one part. */
  #joinParts(last: Buffer): Buffer {
    if (this.#parts.length === 0) return last;
    const event = Buffer.concat([...this.#parts, last]);
    this.#parts = [];
    return event;
  }

  /** Returns the index in `rest` after the end of the current event, or 0. */
  #endIn(rest: Buffer): number {
    if (this.#parts.length === 0) return eventEnd(rest);
    const before = this.#lastPendingBytes();
    const end = eventEnd(Buffer.concat([before, rest]));
    return Math.max(0, end - before.length);
  }

  /** Returns the pending bytes in which a delimiter may have begun. */
  #lastPendingBytes(): Buffer {
    let last: Buffer = Buffer.alloc(0);
    for (let i = this.#parts.length - 1; i >= 0; i--) {
      last = Buffer.concat([this.#parts[i] as Buffer, last]);
      if (last.length >= MAX_DELIMITER_PREFIX_BYTES) break;
    }
    return last.subarray(-MAX_DELIMITER_PREFIX_BYTES);
  }
}

/** Returns the index after the empty line that ends an event; 0 if none. */
function eventEnd(bytes: Buffer): number {
  const lf = bytes.indexOf("\n\n", 0, "latin1");
  // A delimiter of CRLFs that begins before may overlap this one by a byte.
  const beforeLf = lf >= 0 ? bytes.subarray(0, lf + 3) : bytes;
  const crlf = beforeLf.indexOf("\r\n\r\n", 0, "latin1");
  if (crlf >= 0) return crlf + 4;
  return lf >= 0 ? lf + 2 : 0;
}

function parseEvent(bytes: Buffer): StreamEvent {
  const text = bytes.toString("utf8");
  let id: string | undefined;
  let data: string | undefined;
  let start = 0;
  while (start < text.length) {
    const lf = text.indexOf("\n", start);
    const end = lf < 0 ? text.length : lf;
    const line = text.slice(start, text[end - 1] === "\r" ? end - 1 : end);
    start = end + 1;
    const colon = line.indexOf(":");
    if (colon <= 0) continue;
    const value = line.slice(line[colon + 1] === " " ? colon + 2 : colon + 1);
    const name = line.slice(0, colon);
    if (name === "data") {
      data = data === undefined ? value : `${data}\n${value}`;
    } else if (name === "id") id = value;
  }
  return { bytes, id, data: data ?? "" };
}
