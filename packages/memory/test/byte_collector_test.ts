import { expect } from "earl";
import fc from "fast-check";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import { ByteCollector } from "../src/mod.ts";

const MAX_BYTES = 100_000;

function collect(pieces: readonly Uint8Array[], maxBytes = MAX_BYTES) {
  const collector = new ByteCollector({ maxBytes });
  const isWhole = pieces.every((it) => collector.push(it));
  return { collector, isWhole };
}

describe("ByteCollector", () => {
  it("returns the bytes of all pieces in their order", () => {
    fc.assert(
      fc.property(
        fc.array(fc.uint8Array({ maxLength: 3_000 }), { maxLength: 30 }),
        (pieces) => {
          const { collector, isWhole } = collect(pieces);
          expect(isWhole).toEqual(true);
          expect(collector.take()).toEqual(Buffer.concat(pieces));
          expect(collector.bytes).toEqual(0);
        },
      ),
    );
  });

  it("returns the text of all pieces, wherever they are cut", () => {
    fc.assert(
      fc.property(
        fc.string({ unit: "grapheme", minLength: 500, maxLength: 3_000 }),
        fc.integer({ min: 1, max: 100 }),
        (text, size) => {
          const bytes = Buffer.from(text);
          const pieces: Buffer[] = [];
          for (let i = 0; i < bytes.length; i += size) {
            pieces.push(bytes.subarray(i, i + size));
          }
          const { collector } = collect(pieces);
          expect(collector.takeText()).toEqual(bytes.toString());
          expect(collector.takeText()).toEqual("");
        },
      ),
    );
  });

  // Guards against a body whose pieces of one byte cost a buffer each.
  it("keeps at most about twice the bytes of pieces of one byte", () => {
    const pieces = Array.from({ length: 50_000 }, () => Buffer.from("x"));
    const { collector } = collect(pieces);
    expect(collector.keptBytes < 2.2 * collector.bytes).toEqual(true);
  });

  // Guards against a small piece that keeps the buffer of a whole read.
  it("does not keep the buffer that a piece was cut from", () => {
    const read = Buffer.alloc(65_536);
    const { collector } = collect([read.subarray(0, 1)]);
    const taken = collector.take();
    expect(taken.buffer.byteLength).toEqual(1);
  });

  it("keeps nothing once there are too many bytes", () => {
    const { collector, isWhole } = collect(
      [Buffer.alloc(60), Buffer.alloc(41)],
      100,
    );
    expect(isWhole).toEqual(false);
    expect(collector.hasOverflowed).toEqual(true);
    expect(collector.keptBytes).toEqual(0);
    expect(collector.push(Buffer.alloc(1))).toEqual(false);
  });

  it("takes exactly the most bytes", () => {
    const { collector, isWhole } = collect([Buffer.alloc(100)], 100);
    expect(isWhole).toEqual(true);
    expect(collector.push(Buffer.alloc(1))).toEqual(false);
  });

  // Guards against large bodies that are copied twice.
  it("keeps large pieces between small ones in order", () => {
    const collector = new ByteCollector({ maxBytes: 1_000_000 });
    const large = Buffer.alloc(65_536, "L");
    const pieces = [Buffer.from("ab"), large, Buffer.from("c"), large];
    for (const it of pieces) collector.push(it);
    expect(collector.take().equals(Buffer.concat(pieces))).toEqual(true);
    expect(collector.keptBytes).toEqual(0);
  });
});
