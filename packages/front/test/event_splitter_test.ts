import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { EventSplitter, type SplitEvents } from "../src/event_splitter.ts";

const LONG_EVENT_BYTES = 2_000_000;
const MAX_COPIES = 4;
const PARTIAL_BYTES = 100_000;

/** Returns the bytes of each event as text. */
function textsOf({ bytes, events }: SplitEvents): string[] {
  return events.map((it, i) =>
    bytes.toString("utf8", events[i - 1]?.end ?? 0, it.end)
  );
}

function split(text: string, sizes: number[]): string[] {
  const splitter = new EventSplitter();
  const bytes = Buffer.from(text);
  const events: string[] = [];
  let start = 0;
  for (let i = 0; start < bytes.length; i++) {
    const end = start + (sizes[i % sizes.length] ?? 1);
    const chunk = bytes.subarray(start, end);
    events.push(...textsOf(splitter.push(chunk)));
    start = end;
  }
  expect(events.join("").length + splitter.partialEventBytes).toEqual(
    bytes.length,
  );
  return events;
}

describe("EventSplitter", () => {
  it("finds the same events whatever the sizes of the chunks", () => {
    const line = fc.constantFrom("id: 1", "data: a", "data: b", ": c", "x", "");
    const newline = fc.constantFrom("\n", "\r\n", "\n\n", "\r\n\r\n");
    const text = fc.array(fc.tuple(line, newline), { minLength: 1 })
      .map((lines) => lines.map((it) => it.join("")).join(""));
    const sizes = fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 });
    fc.assert(fc.property(text, sizes, (all, chunkSizes) => {
      const events = all.match(/[^]*?(?:\n\n|\r\n\r\n)/g) ?? [];
      expect(split(all, chunkSizes)).toEqual([...events]);
      expect(split(all, [all.length])).toEqual([...events]);
    }));
  });

  // Guards against a buffer for each byte of an event that does not end.
  it("keeps little more than the bytes of an event in parts", () => {
    const splitter = new EventSplitter();
    const part = Buffer.from("x");
    for (let i = 0; i < PARTIAL_BYTES; i++) splitter.push(part);
    expect(splitter.partialEventBytes).toEqual(PARTIAL_BYTES);
    expect(splitter.keptBytes < MAX_COPIES * PARTIAL_BYTES).toEqual(true);
  });

  it("keeps nothing of an event that is too long", () => {
    const splitter = new EventSplitter();
    const part = Buffer.alloc(65_536, "x");
    for (let i = 0; i < 4; i++) splitter.push(part);
    expect(splitter.isTooLong).toEqual(false);
    splitter.push(part);
    expect(splitter.isTooLong).toEqual(true);
    expect(splitter.keptBytes).toEqual(0);
  });

  it("returns the bytes of all events of a chunk unchanged", () => {
    const splitter = new EventSplitter();
    splitter.push(Buffer.from("id: 1\ndata: a"));
    const { bytes, events } = splitter.push(
      Buffer.from("\r\n\r\nid: 2\ndata: b\ndata: c\n\nid: 3"),
    );
    expect(bytes.toString()).toEqual(
      "id: 1\ndata: a\r\n\r\nid: 2\ndata: b\ndata: c\n\n",
    );
    expect(events.map(({ id, data }) => ({ id, data }))).toEqual([
      { id: "1", data: "a" },
      { id: "2", data: "b\nc" },
    ]);
    expect(splitter.partialEventBytes).toEqual(5);
  });

  // Guards against a long event that is copied again with each chunk.
  it("copies each byte of an event that does not end a few times at most", () => {
    for (const size of [64, 1_024, 65_536]) {
      const copied = countJoinedBytes(() => {
        const splitter = new EventSplitter();
        const chunk = Buffer.alloc(size, "x");
        for (let sent = 0; sent < LONG_EVENT_BYTES; sent += size) {
          splitter.push(chunk);
        }
      });
      expect(copied).toBeLessThan(MAX_COPIES * LONG_EVENT_BYTES);
    }
  });
});

/** Returns how many bytes `run` joins to new buffers. */
function countJoinedBytes(run: () => void): number {
  let bytes = 0;
  const { concat } = Buffer;
  Buffer.concat = (parts, length) => {
    const joined = concat(parts, length);
    bytes += joined.length;
    return joined;
  };
  try {
    run();
  } finally {
    Buffer.concat = concat;
  }
  return bytes;
}
