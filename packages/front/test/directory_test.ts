import { MemoryStore } from "@toucantrestle/config_store";
import { Fleet, type HostEntry } from "@toucantrestle/fleet";
import { createNoopLoggers } from "@toucantrestle/log";
import { createManualTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { describe, it } from "node:test";
import { buildDirectoryResponse } from "../src/directory.ts";
import type { FrontState } from "../src/protocol.ts";

function createEntry(host: string): HostEntry {
  return {
    id: host,
    host,
    role: "front",
    linkAddress: `${host}:1`,
    callerAddress: `${host}:80`,
    dataCentre: "a",
  };
}

const DATA_CENTRES = ["east", "north", "south", "west", "centre", "spare"];

/** Returns the addresses that front `a` lists for the given states. */
function addressesFor(states: Record<string, FrontState | undefined>) {
  const fleet = new Fleet({
    self: createEntry("a"),
    store: new MemoryStore(),
    timer: createManualTimer(),
    log: createNoopLoggers()("fleet"),
  });
  const hosts = Object.keys(states).map(createEntry);
  fleet.merge({ hosts, view: undefined });
  return buildDirectoryResponse({
    fleet,
    siblings: { stateOf: (host) => states[host], capacityOf: () => undefined },
    self: "a",
    ownAddress: "a:80",
    state: states["a"] ?? "starting",
    capacity: undefined,
  }).addresses;
}

describe("the directory response", () => {
  it("lists only the fronts that are ready", () => {
    expect(addressesFor({
      a: "ready",
      b: "stopping",
      c: "ready",
      d: undefined,
      e: "starting",
    })).toEqual(["a:80", "c:80"]);
  });

  it("lists the stopping fronts when no front is ready", () => {
    expect(addressesFor({ a: "stopping", b: undefined, c: "stopping" }))
      .toEqual(["a:80", "c:80"]);
  });

  it("is empty while all fronts are starting", () => {
    expect(addressesFor({ a: "starting", b: "starting" })).toEqual([]);
  });

  it("of a large fleet has the same 64 fronts everywhere, of all data centres", () => {
    const states: Record<string, FrontState> = {};
    for (const dataCentre of DATA_CENTRES) {
      for (let i = 0; i < 28; i++) states[`${dataCentre}-${i}`] = "ready";
    }
    const listed = addressesFor({ a: "starting", ...states });
    expect(listed.length).toEqual(64);
    const reversed = Object.fromEntries(Object.entries(states).reverse());
    expect(addressesFor({ a: "starting", ...reversed })).toEqual(listed);
    for (const dataCentre of DATA_CENTRES) {
      const own = listed.filter((it) => it.startsWith(`${dataCentre}-`));
      expect(own.length).toBeGreaterThanOrEqual(4);
    }
  });
});
