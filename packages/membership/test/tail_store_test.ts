import type { JournalEntry } from "@toucantrestle/program";
import { expect } from "earl";
import { describe, it } from "node:test";
import { type AppendInput, TailStore } from "../src/mod.ts";

const LIMIT_BYTES = 1_000;

/** Creates an append of the entries with these LSNs, of 10 bytes each. */
function createAppend(lsns: number[]): AppendInput {
  const entries = lsns.map((lsn) => ({ lsn }) as unknown as JournalEntry);
  return {
    shard: 1,
    log: { epoch: 1, generation: 0 },
    flushedUpTo: 0,
    entries,
    bytes: 10 * lsns.length,
  };
}

describe("TailStore", () => {
  it("counts a repeated append once", () => {
    const store = new TailStore(LIMIT_BYTES);
    store.append(createAppend([1, 2]));
    store.append(createAppend([1, 2]));
    expect(store.bytes).toEqual(20);
  });

  it("counts only the new entries of a partly repeated append", () => {
    const store = new TailStore(LIMIT_BYTES);
    store.append(createAppend([1, 2]));
    store.append(createAppend([1, 2, 3]));
    expect(store.bytes).toEqual(30);
  });

  it("accepts a repeated append when it is full", () => {
    const store = new TailStore(20);
    store.append(createAppend([1, 2]));
    expect(store.append(createAppend([1, 2]))).toEqual({
      kind: "kept",
      upTo: 2,
    });
    expect(store.append(createAppend([3])).kind).toEqual("full");
  });
});
