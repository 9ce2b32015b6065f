import { expect } from "earl";
import fc from "fast-check";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import { LineReader } from "../src/line_reader.ts";

const MAX_BYTES = 1_000;

describe("LineReader", () => {
  it("returns the lines of any text, in any pieces", () => {
    const lines = fc.array(
      fc.string({ unit: "grapheme" }).map((it) => it.replaceAll("\n", "")),
    );
    fc.assert(
      fc.property(lines, fc.integer({ min: 1, max: 9 }), (all, size) => {
        const reader = new LineReader({ maxBytes: MAX_BYTES });
        const bytes = Buffer.from(all.map((it) => `${it}\n`).join(""));
        const found: string[] = [];
        for (let i = 0; i < bytes.length; i += size) {
          found.push(...reader.read(bytes.subarray(i, i + size)));
        }
        expect(found).toEqual(all);
      }),
    );
  });

  // Guards against a line of which each piece is kept.
  it("keeps little more than the bytes of a line", () => {
    const reader = new LineReader({ maxBytes: MAX_BYTES });
    const piece = Buffer.from("x");
    for (let i = 0; i < MAX_BYTES; i++) {
      expect([...reader.read(piece)]).toEqual([]);
    }
    expect(reader.keptBytes).toBeLessThan(10 * MAX_BYTES);
    expect(() => [...reader.read(piece)]).toThrow("line exceeds");
  });
});
