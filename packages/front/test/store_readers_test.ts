import { createNoopLoggers } from "@toucantrestle/log";
import { createManualTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { describe, it } from "node:test";
import { StoreReaders } from "../src/siblings/store_readers.ts";

/** Creates the fronts of a fleet; those in `cutOff` do not reach the store. */
function createReaders(count: number) {
  const timer = createManualTimer();
  const hosts = Array.from({ length: count }, (_, i) => `front-${i}`);
  const cutOff = new Set<string>();
  const isolated = new Set<string>();
  const readers = hosts.map((self) => ({
    self,
    readers: new StoreReaders({
      self,
      timer,
      log: createNoopLoggers()("sibling"),
      candidates: () =>
        isolated.has(self)
          ? []
          : hosts.filter((it) => it !== self && !cutOff.has(it)),
    }),
  }));
  return {
    timer,
    cutOff,
    isolated,
    names: () =>
      readers.filter((it) => it.readers.isReader).map((it) => it.self),
  };
}

// Answers the calls to the store that grow with the number of fronts.
describe("readers of the store", () => {
  it("are all fronts of a small fleet", () => {
    expect(createReaders(12).names().length).toEqual(12);
  });

  it("are a few of a large fleet", () => {
    expect(createReaders(171).names().length).toEqual(4);
  });

  it("are replaced within 250 ms when they lose the store", () => {
    const fleet = createReaders(171);
    const before = fleet.names();
    for (const host of before) fleet.cutOff.add(host);
    fleet.timer.advance(250);
    const others = fleet.names().filter((it) => !before.includes(it));
    expect(others.length).toEqual(4);
  });

  it("include a front that is connected to no other", () => {
    const fleet = createReaders(171);
    fleet.isolated.add("front-9");
    expect(fleet.names()).toInclude("front-9");
  });
});
