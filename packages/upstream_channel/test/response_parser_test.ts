import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { ResponseParser, type ResponsePart } from "../src/response_parser.ts";

const HEAD = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const READ_BYTES = 65_536;

function frame(body: string, chunkBytes: number): string {
  let text = "";
  for (let at = 0; at < body.length; at += chunkBytes) {
    const chunk = body.slice(at, at + chunkBytes);
    text += `${chunk.length.toString(16)}\r\n${chunk}\r\n`;
  }
  return text;
}

/** Parses a text that arrives in reads of these sizes. */
function parseReads(text: string, sizes: number[]): ResponsePart[] {
  const parser = new ResponseParser();
  parser.expectResponseTo("GET");
  const bytes = Buffer.from(text, "latin1");
  const parts: ResponsePart[] = [];
  let start = 0;
  for (let i = 0; start < bytes.length; i++) {
    const end = start + (sizes[i % sizes.length] ?? 1);
    const { parts: found, fault } = parser.parse(bytes.subarray(start, end));
    expect(fault).toEqual(undefined);
    parts.push(...found);
    start = end;
  }
  parser.free();
  return parts;
}

function bodyOf(parts: ResponsePart[]): string {
  return parts.map((it) =>
    it.kind === "data" ? it.bytes.toString("latin1") : ""
  )
    .join("");
}

describe("ResponseParser", () => {
  // Guards against a buffer for each chunk of one byte.
  it("joins the chunks of one read to one part", () => {
    const text = HEAD + frame("x".repeat(10_000), 1);
    const parts = parseReads(text, [READ_BYTES]);
    expect(parts.map((it) => it.kind)).toEqual(["head", "data"]);
    expect(bodyOf(parts)).toEqual("x".repeat(10_000));
  });

  it("passes on a piece alone as a view of its read", () => {
    const parser = new ResponseParser();
    parser.expectResponseTo("GET");
    parser.parse(Buffer.from(HEAD));
    const bytes = Buffer.from(frame("piece", 5));
    const [part] = parser.parse(bytes).parts;
    const piece = part?.kind === "data" ? part.bytes : undefined;
    expect(piece?.toString()).toEqual("piece");
    expect(piece?.buffer).toEqual(bytes.buffer);
    parser.free();
  });

  it("keeps what it joined apart from what it joins later", () => {
    const parser = new ResponseParser();
    parser.expectResponseTo("GET");
    parser.parse(Buffer.from(HEAD));
    const first = parser.parse(Buffer.from(frame("aaaa", 1))).parts;
    parser.parse(Buffer.from(frame("bbbb", 1)));
    expect(bodyOf(first)).toEqual("aaaa");
    parser.free();
  });

  it("joins more than the size of a read", () => {
    const body = "0123456789".repeat(20_000);
    const parts = parseReads(HEAD + frame(body, 50_000), [400_000]);
    expect(bodyOf(parts)).toEqual(body);
  });

  it("finds the same body whatever the sizes of chunks and reads", () => {
    const size = fc.integer({ min: 1, max: 40 });
    const sizes = fc.array(size, { minLength: 1 });
    fc.assert(fc.property(fc.string(), size, sizes, (any, chunk, reads) => {
      const body = Buffer.from(any).toString("latin1");
      const text = `${HEAD}${frame(body, chunk)}0\r\n\r\n`;
      const parts = parseReads(text, reads);
      expect(bodyOf(parts)).toEqual(body);
      expect(parts.at(-1)).toEqual({ kind: "end" });
    }));
  });
});
