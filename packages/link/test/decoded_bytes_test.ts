import { expect } from "earl";
import fc from "fast-check";
import { Packr } from "msgpackr";
import { describe, it } from "node:test";
import { decodedBytes } from "../src/decoded_bytes.ts";
import { decodeMessage, DEFAULT_LIMITS } from "../src/decode_message.ts";

const packr = new Packr({ useRecords: false });
const MAX_LIST = 4_000_000;

/** Least that a value takes: its texts and bytes. */
function contentBytes(value: unknown): number {
  if (typeof value === "string") return Buffer.byteLength(value);
  if (value instanceof Uint8Array) return value.length;
  if (typeof value !== "object" || value === null) return 0;
  const parts = Object.entries(value).map(([key, it]) =>
    (Array.isArray(value) ? 0 : contentBytes(key)) + contentBytes(it)
  );
  return parts.reduce((sum, it) => sum + it, 0);
}

function listMessage(item: number): Buffer {
  const list = Buffer.alloc(MAX_LIST, item);
  const head = packr.pack({ t: "notice", name: "x" });
  head[0] = 0x83;
  const length = Buffer.alloc(5, 0xdd);
  length.writeUInt32BE(MAX_LIST, 1);
  return Buffer.concat([head, packr.pack("body"), length, list]);
}

describe("decodedBytes", () => {
  it("follows the lengths of all values to the end of a message", () => {
    const leaf = fc.oneof(
      fc.string({ maxLength: 400 }),
      fc.uint8Array({ maxLength: 70_000 }),
      fc.double(),
      fc.integer(),
      fc.bigInt({ min: 0n, max: 2n ** 60n }),
      fc.constantFrom(null, undefined, true),
    );
    const { value } = fc.letrec((tie) => ({
      value: fc.oneof(
        leaf,
        fc.array(tie("value"), { maxLength: 20 }),
        fc.dictionary(fc.string({ maxLength: 40 }), tie("value")),
      ),
    }));
    fc.assert(
      fc.property(value, (it) => {
        const total = decodedBytes(packr.pack(it));
        const content = contentBytes(it);
        // Each value costs at least 16 bytes and at most 128 beside its content.
        expect(total >= content + 16).toEqual(true);
        const values = decodedBytes(packr.pack([it])) - total;
        expect(values).toEqual(64);
      }),
      { numRuns: 200 },
    );
  });

  it("ends at a value that is cut", () => {
    const bytes = packr.pack({ text: "x".repeat(300) });
    for (let end = 0; end < bytes.length; end += 7) {
      expect(decodedBytes(bytes.subarray(0, end)) < 10_000).toEqual(true);
    }
  });
});

describe("decodeMessage", () => {
  // Guards against a message that takes a hundred times its size.
  for (const item of [0x80, 0x90, 0xc4, 0xcb]) {
    it(`refuses a list of many values (${item.toString(16)})`, () => {
      expect(decodeMessage(listMessage(item))).toEqual(undefined);
    });
  }

  it("takes a message with a body of 16 MiB", () => {
    const body = Buffer.alloc(16 * 1_048_576, 7);
    const bytes = packr.pack({ t: "notice", name: "x", body });
    expect(bytes.length < DEFAULT_LIMITS.maxBytes).toEqual(true);
    expect(decodeMessage(bytes)?.t).toEqual("notice");
  });
});
