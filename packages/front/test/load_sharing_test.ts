import { createNoopLoggers } from "@toucantrestle/log";
import type { WorkKind } from "@toucantrestle/policy";
import { type UpstreamLoad, UpstreamRegistry } from "@toucantrestle/routing";
import { createManualTimer, type ManualTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { describe, it } from "node:test";
import { Collectors } from "../src/collectors.ts";
import { LoadSharing } from "../src/load_sharing.ts";

describe("load sharing among few fronts", () => {
  it("reports a change to each sibling within 50 ms", () => {
    const fleet = createFleet(6);
    fleet.addLoad("front-0", "u1", 3);
    fleet.timer.advance(50);
    for (const host of fleet.hosts.slice(1)) {
      expect(fleet.runningAt(host, "u1")).toEqual(3);
    }
  });

  it("burst: changes every 2 ms reach each sibling 20 times a second", () => {
    const fleet = createFleet(6);
    for (let ms = 0; ms < 1_000; ms += 2) {
      fleet.addLoad("front-0", "u1", 1);
      fleet.timer.advance(2);
    }
    expect(fleet.messageCount()).toBeLessThanOrEqual(21 * 5);
  });

  it("repeats an unchanged load, so that it does not expire at siblings", () => {
    const fleet = createFleet(6);
    fleet.addLoad("front-0", "u1", 3);
    fleet.timer.advance(10_000);
    expect(fleet.runningAt("front-5", "u1")).toEqual(3);
  });

  it("forgets the load of a front that has died", () => {
    const fleet = createFleet(6);
    fleet.addLoad("front-0", "u1", 3);
    fleet.timer.advance(50);
    fleet.kill("front-0");
    fleet.timer.advance(3_000);
    expect(fleet.runningAt("front-5", "u1")).toEqual(0);
  });
});

describe("load sharing among many fronts", () => {
  it("burst: each front learns the exact load before a choice", async () => {
    const fleet = createFleet(54);
    for (const host of fleet.hosts) fleet.addLoad(host, "u1", 1);
    fleet.timer.advance(20);
    for (const host of fleet.hosts) {
      await fleet.query(host, "u1");
      expect(fleet.runningAt(host, "u1")).toEqual(54);
    }
  });

  it("burst: a front sends one message for each change", () => {
    const fleet = createFleet(54);
    for (let i = 0; i < 100; i++) {
      fleet.addLoad("front-0", "u1", 1);
      fleet.timer.advance(21);
    }
    expect(fleet.messageCount()).toBeLessThanOrEqual(101);
  });

  it("burst: plain calls cause no messages", () => {
    const fleet = createFleet(54);
    fleet.addLoad("front-0", "u1", 5, "service");
    fleet.timer.advance(5_000);
    expect(fleet.messageCount()).toEqual(0);
  });

  it("goes on without the collector when it does not answer", async () => {
    const fleet = createFleet(54);
    for (const host of fleet.hosts) fleet.addLoad(host, "u1", 1);
    fleet.timer.advance(20);
    for (const host of fleet.hosts.slice(1)) fleet.silence(host);
    await fleet.query("front-0", "u1");
    expect(fleet.runningAt("front-0", "u1")).toBeGreaterThanOrEqual(1);
  });

  it("knows the load again within a second of the collector's death", async () => {
    const fleet = createFleet(54);
    for (const host of fleet.hosts) fleet.addLoad(host, "u1", 1);
    fleet.timer.advance(20);
    fleet.kill(fleet.collectorOf("u1"));
    fleet.timer.advance(1_000);
    const [host] = fleet.hosts as [string];
    await fleet.query(host, "u1");
    expect(fleet.runningAt(host, "u1")).toEqual(53);
  });
});

/** Creates fronts that share their loads without a network. */
function createFleet(count: number) {
  const timer: ManualTimer = createManualTimer();
  const registries = new Map<string, UpstreamRegistry>();
  const sharings = new Map<string, LoadSharing>();
  const silent = new Set<string>();
  const queriedHosts: string[] = [];
  let messages = 0;
  const hosts = Array.from({ length: count }, (_, i) => `front-${i}`);
  for (const self of hosts) {
    const upstreamRegistry = createRegistry();
    registries.set(self, upstreamRegistry);
    const siblings = {
      get connectedHosts() {
        return [...sharings.keys()].filter((it) => it !== self);
      },
      sendLoads(
        host: string,
        report: Parameters<LoadSharing["applyReport"]>[0],
      ) {
        if (!sharings.has(self)) return;
        messages += 1;
        sharings.get(host)?.applyReport(report);
      },
      queryLoads(host: string, upstreams: string[]) {
        queriedHosts.push(host);
        const answer: Record<string, UpstreamLoad> | undefined = sharings.get(
          host,
        )?.answerQuery({ host: self, upstreams });
        return silent.has(host) || !answer
          ? Promise.reject(new Error("timed out"))
          : Promise.resolve(answer);
      },
    };
    const log = createNoopLoggers()("sibling");
    sharings.set(
      self,
      new LoadSharing({
        self,
        timer,
        upstreamRegistry,
        siblings,
        collectors: new Collectors({ self, timer, siblings }),
        isEnabled: true,
        log,
      }),
    );
  }
  const known = (host: string, id: string) => {
    const upstream = registries.get(host)?.get(id);
    if (!upstream) throw new Error(`no upstream ${id} at ${host}`);
    return upstream;
  };
  return {
    timer,
    hosts,
    addLoad(
      host: string,
      id: string,
      running: number,
      kind: WorkKind = "engine",
    ) {
      known(host, id).localLoad.running += running;
      sharings.get(host)?.reportChange(id, kind);
    },
    query: async (host: string, id: string) =>
      await sharings.get(host)?.query([known(host, id)]),
    runningAt: (host: string, id: string): number =>
      (registries.get(host) as UpstreamRegistry)
        .loadOf(known(host, id), timer.monotonicNow()).running,
    collectorOf(id: string): string {
      for (const host of hosts) {
        queriedHosts.length = 0;
        void sharings.get(host)?.query([known(host, id)]);
        if (queriedHosts[0] !== undefined) return queriedHosts[0];
      }
      throw new Error(`no collector of ${id}`);
    },
    kill: (host: string) => sharings.delete(host),
    silence: (host: string) => silent.add(host),
    messageCount: () => messages,
  };
}

function createRegistry(): UpstreamRegistry {
  const registry = new UpstreamRegistry({ onInstanceGone: () => {} });
  registry.put({
    id: "u1",
    service: "s",
    address: "10.0.0.1:80",
    dataCentre: "a",
    slots: 64,
    isDraining: false,
    coldLeftMs: 0,
    softwareVersion: "v1",
    startedAt: 0,
  });
  return registry;
}
