/** One event of a stream. */
export interface StreamEvent {
  /** Its bytes as they came, with the empty line at the end. */
  bytes: Buffer;
  id: string | undefined;
  /** Its data lines, joined by line feeds. */
  data: string;
}

/** Splits a stream into whole events. */
export class EventSplitter {
  #pending = Buffer.alloc(0);

  /** Bytes of an event that has not ended. */
  get hasPartial(): boolean {
    return this.#pending.length > 0;
  }

  /** Takes bytes and returns the events that they complete. */
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
    this.#pending = Buffer.from(bytes.subarray(start));
    return events;
  }
}

/** Index after the empty line that ends an event; 0 where there is none. */
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
