import { MemoryStore } from "@toucantrestle/config_store";
import { createNoopLoggers } from "@toucantrestle/log";
import { createManualTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { describe, it } from "node:test";
import { Fleet } from "../src/mod.ts";

function createFleet(): Fleet {
  return new Fleet({
    self: {
      id: "front-1",
      host: "front-1",
      role: "front",
      linkAddress: "127.0.0.1:7001",
      callerAddress: "127.0.0.1:7002",
      dataCentre: "north",
    },
    store: new MemoryStore(),
    timer: createManualTimer(),
    log: createNoopLoggers()("fleet"),
  });
}

function fail(): never {
  throw new Error("odd");
}

// Guards against a part that loses events by the error of another one (FAULT).
describe("a listener of the fleet that fails", () => {
  it("does not keep others from hearing of a view", () => {
    const fleet = createFleet();
    const numbers: number[] = [];
    fleet.onView(fail);
    fleet.onView((view) => numbers.push(view.number));
    for (const number of [1, 2]) {
      fleet.applyView({ number, tolerate: 1, members: [], former: [] });
    }
    expect(numbers).toEqual([1, 2]);
  });

  it("does not keep others from hearing of hosts", () => {
    const fleet = createFleet();
    const counts: number[] = [];
    fleet.onHostsChanged(fail);
    fleet.onHostsChanged(() => counts.push(fleet.hosts.length));
    const sibling = {
      id: "front-2",
      host: "front-2",
      role: "front" as const,
      linkAddress: "127.0.0.1:7003",
      callerAddress: "127.0.0.1:7004",
      dataCentre: "north",
    };
    fleet.merge({ hosts: [sibling], view: undefined });
    expect(counts).toEqual([1]);
  });
});
