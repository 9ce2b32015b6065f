import { expect } from "earl";
import { describe, it } from "node:test";
import { CacheView, setNewest } from "../src/mod.ts";

const MAX_PROGRAMS = 50_000;

describe("setNewest", () => {
  it("drops the entry that was set the longest time ago", () => {
    const map = new Map<string, number>();
    for (const key of ["a", "b", "a", "c"]) setNewest(map, [key, 1], 2);
    expect([...map.keys()]).toEqual(["a", "c"]);
  });
});

describe("CacheView", () => {
  // Guards against programs that were taken over elsewhere and stay for good.
  it("keeps the estimates of a bounded number of programs", () => {
    const view = new CacheView();
    for (let i = 0; i < 2 * MAX_PROGRAMS; i++) {
      view.recordCompletion(`p${i}`, { upstream: "e", tokens: i, at: 0 });
    }
    expect(view.programs).toEqual(MAX_PROGRAMS);
    const newest = 2 * MAX_PROGRAMS - 1;
    expect(view.cachedTokens(`p${newest}`, "e")).toEqual(newest);
  });
});
