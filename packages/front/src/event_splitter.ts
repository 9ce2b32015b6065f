/** One server-sent event. */
export interface StreamEvent {
  /** Unmodified bytes of the event, including the empty line at its end. */
  bytes: Buffer;
  id: string | undefined;
  /** Values of the data lines, joined by line feeds. */
  data: string;
}

/** Splits a byte stream into complete events. */
export class EventSplitter {
  #pending = Buffer.alloc(0);
  #eventCount = 0;

  /** Number of complete events. */
  get eventCount(): number {
    return this.#eventCount;
  }

  /** Size of the incomplete event in the buffer, in bytes. */
  get partialEventBytes(): number {
    return this.#pending.length;
  }

  /** Appends a chunk and returns the events that it completes. */
  push(chunk: Buffer): StreamEvent[] {
    const bytes = this.#pending.length > 0
      ? Buffer.concat([this.#pending, chunk])
      : chunk;
    const events: StreamEvent[] = [];
    let start = 0;
    for (
      let end = eventEnd(bytes, start);
      end > 0;
      end = eventEnd(bytes, start)
    ) {
      events.push(parseEvent(bytes.subarray(start, end)));
      start = end;
    }
    this.#eventCount += events.length;
    this.#pending = Buffer.from(bytes.subarray(start));
    return events;
  }
}

/** Returns the index after the empty line that ends an event; 0 if none. */
function eventEnd(bytes: Buffer, start: number): number {
  const lf = bytes.indexOf("\n\n", start, "latin1");
  const crlf = bytes.indexOf("\r\n\r\n", start, "latin1");
  if (crlf >= 0 && (lf < 0 || crlf < lf)) return crlf + 4;
  return lf >= 0 ? lf + 2 : 0;
}

function parseEvent(bytes: Buffer): StreamEvent {
  let id: string | undefined;
  const data: string[] = [];
  for (const line of bytes.toString("utf8").split(/\r?\n/)) {
    const colon = line.indexOf(":");
    if (colon <= 0) continue;
    const name = line.slice(0, colon);
    const value = line.slice(colon + 1).replace(/^ /, "");
    if (name === "data") data.push(value);
    else if (name === "id") id = value;
  }
  return { bytes, id, data: data.join("\n") };
}
