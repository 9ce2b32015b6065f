import { expect } from "earl";
import { describe, it } from "node:test";
import { measureMemory, MemoryHolders } from "../src/mod.ts";

describe("MemoryHolders", () => {
  it("sums up the memory by purpose, without what was removed", () => {
    const holders = new MemoryHolders();
    holders.add({ purpose: "streams", keptBytes: () => 5 });
    holders.add({ purpose: "streams", keptBytes: () => 6 });
    const remove = holders.add({ purpose: "responses", keptBytes: () => 7 });
    remove();
    const { streams, responses } = holders.bytesByPurpose();
    expect([streams, responses, holders.count]).toEqual([11, 0, 2]);
  });
});

describe("measureMemory", () => {
  it("returns figures that fit each other", () => {
    const { heapBytes, heapLimitBytes, residentBytes } = measureMemory();
    expect(heapBytes > 0 && heapBytes < heapLimitBytes).toEqual(true);
    expect(residentBytes > heapBytes / 2).toEqual(true);
  });
});
