import { expect } from "earl";
import { describe, it } from "node:test";
import { ResponseWriter } from "../src/response_writer.ts";

const HIGH_WATER_MARK = 100;

/** Response whose caller takes what was written when it is told to. */
class FakeResponse {
  readonly writes: string[] = [];
  readonly writableHighWaterMark = HIGH_WATER_MARK;
  writableLength = 0;
  writableEnded = false;
  #open: ((err?: Error | null) => void)[] = [];

  write(bytes: Buffer, onWritten: (err?: Error | null) => void): boolean {
    this.writes.push(bytes.toString());
    this.writableLength += bytes.length;
    this.#open.push(onWritten);
    return this.writableLength < HIGH_WATER_MARK;
  }

  /** Hands over all that is queued. */
  take(): void {
    this.writableLength = 0;
    const open = this.#open;
    this.#open = [];
    for (const onWritten of open) onWritten(null);
  }
}

function createWriter() {
  const res = new FakeResponse();
  const held: string[] = [];
  const writer = new ResponseWriter({
    res: res as never,
    onFull: () => held.push("full"),
    onTaken: () => held.push("taken"),
  });
  const write = (text: string) => writer.write(Buffer.from(text));
  return { res, held, writer, write };
}

describe("ResponseWriter", () => {
  it("writes at once while the caller takes everything", () => {
    const { res, held, write } = createWriter();
    for (const text of ["a", "b", "c"]) {
      write(text);
      res.take();
    }
    expect(res.writes).toEqual(["a", "b", "c"]);
    expect(held).toEqual([]);
  });

  // Guards against an entry of the queue for each small piece.
  it("joins what arrives before the caller has taken the rest", () => {
    const { res, write } = createWriter();
    for (const text of ["a", "b", "c", "d"]) write(text);
    expect(res.writes).toEqual(["a"]);
    res.take();
    expect(res.writes).toEqual(["a", "bcd"]);
  });

  it("writes directly behind a head that is still queued", () => {
    const { res, write } = createWriter();
    res.writableLength = 50;
    write("a");
    expect(res.writes).toEqual(["a"]);
  });

  it("holds back above a bound, and lets go on once it is taken", () => {
    const { res, held, write } = createWriter();
    write("a");
    write("b".repeat(HIGH_WATER_MARK));
    write("c");
    expect(held).toEqual(["full"]);
    res.take();
    expect(held).toEqual(["full"]);
    res.take();
    expect(held).toEqual(["full", "taken"]);
    expect(res.writes.join("").length).toEqual(HIGH_WATER_MARK + 2);
  });

  it("holds back after one large piece", () => {
    const { res, held, write } = createWriter();
    write("a".repeat(HIGH_WATER_MARK));
    expect(held).toEqual(["full"]);
    res.take();
    expect(held).toEqual(["full", "taken"]);
  });

  it("adds what waits to the queue at the end", () => {
    const { res, writer, write } = createWriter();
    write("a");
    write("b");
    writer.flush();
    writer.flush();
    expect(res.writes).toEqual(["a", "b"]);
  });

  it("writes nothing to a response that is over", () => {
    const { res, writer, write } = createWriter();
    write("a");
    write("b");
    res.writableEnded = true;
    writer.flush();
    res.take();
    expect(res.writes).toEqual(["a"]);
  });

  it("counts what waits beside the queue", () => {
    const { res, writer, write } = createWriter();
    write("a".repeat(10));
    expect(writer.keptBytes).toEqual(0);
    write("b".repeat(20));
    expect(writer.keptBytes >= 20).toEqual(true);
    res.take();
    expect(writer.keptBytes).toEqual(0);
  });

  // Guards against memory without bound if nothing is held back in time.
  it("refuses more than it may keep", () => {
    const { write } = createWriter();
    write("a");
    const piece = "b".repeat(1_048_576);
    const results = Array.from({ length: 17 }, () => write(piece));
    expect(results.filter((it) => it).length).toEqual(16);
    expect(results.at(-1)).toEqual(false);
  });

  it("says nothing after a failed write", () => {
    const { res, held, write } = createWriter();
    let onWritten: ((err?: Error | null) => void) | undefined;
    res.write = (_bytes, fn) => {
      onWritten = fn;
      return false;
    };
    write("a");
    onWritten?.(new Error("closed"));
    expect(held).toEqual(["full"]);
  });
});
