import { expect } from "earl";
import { describe, it } from "node:test";
import { MemoryHolders } from "../src/mod.ts";

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

  it("asks its sources at each look", () => {
    const holders = new MemoryHolders();
    let bytes = 3;
    const remove = holders.addSource(() => [
      { purpose: "streams", keptBytes: () => bytes },
    ]);
    bytes = 4;
    expect(holders.bytesByPurpose().streams).toEqual(4);
    remove();
    expect(holders.count).toEqual(0);
  });
});
