import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { EventSplitter } from "../src/event_splitter.ts";

const LONG_EVENT_BYTES = 2_000_000;
const MAX_COPIES = 4;

function split(text: string, sizes: number[]): string[] {
  const splitter = new EventSplitter();
  const bytes = Buffer.from(text);
  const events: string[] = [];
  let start = 0;
  for (let i = 0; start < bytes.length; i++) {
    const end = start + (sizes[i % sizes.length] ?? 1);
    const chunk = bytes.subarray(start, end);
    events.push(...splitter.push(chunk).map((it) => it.bytes.toString()));
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
      expect(split(all, chunkSizes)).toEqual(split(all, [all.length]));
    }));
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
