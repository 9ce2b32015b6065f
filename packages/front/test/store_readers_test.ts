import { createNoopLoggers } from "@toucantrestle/log";
import { createManualTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { describe, it } from "node:test";
import { StoreReaders } from "../src/siblings/store_readers.ts";

/**
 * Creates the fronts of a fleet; those in `cutOff` do not reach the store, and
 * those that `isKnownTo` names know the data centres.
 */
function createReaders(count: number, dataCentres = 1) {
  const timer = createManualTimer();
  const hosts = Array.from({ length: count }, (_, i) => `front-${i}`);
  const cutOff = new Set<string>();
  const isolated = new Set<string>();
  const places = { isKnownTo: (_host: string) => true };
  const readers = hosts.map((self) => ({
    self,
    readers: new StoreReaders({
      self,
      timer,
      dataCentreOf: (host) =>
        places.isKnownTo(self) ? dataCentreOf(host, dataCentres) : undefined,
      log: createNoopLoggers()("sibling"),
      candidates: () =>
        isolated.has(self)
          ? []
          : hosts.filter((it) => it !== self && !cutOff.has(it)),
    }),
  }));
  return Object.assign(places, {
    timer,
    cutOff,
    isolated,
    names: () =>
      readers.filter((it) => it.readers.isReader).map((it) => it.self),
  });
}

function dataCentreOf(host: string, count: number): string {
  return `dc-${Number(host.split("-")[1]) % count}`;
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

  // Guards against DRAIN: all readers are cut off with their data centre.
  it("are spread over the data centres", () => {
    for (const dataCentres of [2, 3, 4, 5]) {
      for (let count = 14; count < 60; count++) {
        const fleet = createReaders(count, dataCentres);
        const chosen = fleet.names();
        expect(chosen.length).toEqual(4);
        const places = chosen.map((it) => dataCentreOf(it, dataCentres));
        expect(new Set(places).size).toEqual(Math.min(4, dataCentres));
      }
    }
  });

  // Guards against DRAIN: fronts that learn data centres at different times
  // choose different readers, so that too few read.
  it("are chosen anew when data centres become known", () => {
    for (let count = 14; count < 40; count++) {
      const fleet = createReaders(count, 4);
      // The fronts with an even number learn them later than the others.
      fleet.isKnownTo = (host) => Number(host.split("-")[1]) % 2 > 0;
      fleet.names();
      fleet.isKnownTo = () => true;
      fleet.timer.advance(250);
      expect(fleet.names()).toEqual(createReaders(count, 4).names());
    }
  });

  it("include a front that is connected to no other", () => {
    const fleet = createReaders(171);
    fleet.isolated.add("front-9");
    expect(fleet.names()).toInclude("front-9");
  });
});
