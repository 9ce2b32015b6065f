import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { Gossip } from "../src/mod.ts";
import { dataCentreOf, ModelFleet } from "./model_fleet.ts";

/** News reach the whole connected fleet within this time. */
const NEWS_MS = 1_000;
/** Time until a host that dies, freezes or returns is known as such. */
const DETECTION_MS = 3_500;
const START_MS = 5_000;
/**
 * Time until all know that hosts are frozen: whoever takes over their reading of
 * the store needs some 0.8 s more, and the news of an upstream that leaves must
 * be everywhere after 3 s.
 */
const FROZEN_KNOWN_MS = 2_200;
/** Links of a process beside those that it has in use. */
const MAX_LINKS = 24;
const SIZES = [6, 54, 171, 330];

function createFleet(count: number): ModelFleet {
  const fleet = new ModelFleet(count);
  fleet.timer.advance(START_MS);
  return fleet;
}

/** Publishes news on a host; returns how long the last host waited for them. */
function timeToAll(fleet: ModelFleet, from: string): number {
  const startedAt = fleet.timer.monotonicNow();
  fleet.publish(from, `news-${startedAt}`);
  fleet.timer.advance(NEWS_MS);
  const learned = fleet.learnedAt(`news-${startedAt}`);
  return Math.max(...learned.map((at) => (at ?? Infinity) - startedAt));
}

describe("gossip in a fleet", () => {
  for (const count of SIZES) {
    it(`${count} hosts are all connected and have few links`, () => {
      const fleet = createFleet(count);
      for (const name of fleet.names) {
        expect(fleet.connected(name).size).toEqual(count - 1);
        expect(fleet.linkCount(name)).toBeLessThanOrEqual(MAX_LINKS);
      }
    });

    it(`news reach ${count} hosts within a second, a few times each`, () => {
      const fleet = createFleet(count);
      fleet.resetCounts();
      expect(timeToAll(fleet, "host-1")).toBeLessThanOrEqual(NEWS_MS);
      expect(fleet.mostReceived()).toBeLessThanOrEqual(MAX_LINKS);
    });
  }

  it("an idle host sends as much among 54 hosts as among 330", () => {
    const perHost = [54, 330].map((count) => {
      const fleet = createFleet(count);
      fleet.resetCounts();
      fleet.timer.advance(10_000);
      return fleet.byteCount / count;
    }) as [number, number];
    expect(perHost[1] / perHost[0]).toBeLessThanOrEqual(2);
  });

  it("a change of state reaches all within a second", () => {
    const fleet = createFleet(171);
    fleet.setReady("host-3", false);
    fleet.timer.advance(NEWS_MS);
    for (const name of fleet.names.filter((it) => it !== "host-3")) {
      expect(fleet.isReady(name, "host-3")).toEqual(false);
    }
  });

  it("two hosts choose each other as neighbours", () => {
    const fleet = createFleet(171);
    for (const name of fleet.names) {
      for (const other of fleet.neighbours(name)) {
        expect(fleet.neighbours(other).has(name)).toEqual(true);
      }
    }
  });
});

/** Gossip of one host with a neighbour, on a clock that can jump. */
function createSleeper() {
  let now = 1_000;
  let heartbeat = () => {};
  const subscription = { cancel: () => {} };
  const gossip = new Gossip<string, string>({
    self: "a",
    timer: {
      now: () => now,
      monotonicNow: () => now,
      after: () => subscription,
      afterAbout: () => subscription,
      every(_intervalMs, fn) {
        heartbeat = fn;
        return subscription;
      },
    },
    state: () => "ready",
    send: () => {},
    applyNews: () => false,
    recentNews: () => [],
  });
  gossip.start();
  gossip.setNeighbours(new Set(["b"]));
  gossip.openLink("b");
  gossip.receive("b", { reports: [], news: [] });
  return {
    gossip,
    heartbeatAfter(ms: number) {
      now += ms;
      heartbeat();
    },
  };
}

describe("gossip of a host that was frozen", () => {
  it("does not take its own silence for that of its neighbours", () => {
    const { gossip, heartbeatAfter } = createSleeper();
    heartbeatAfter(4_000);
    expect([...gossip.connectedHosts]).toEqual(["b"]);
  });

  it("takes a neighbour for silent that is not heard after that", () => {
    const { gossip, heartbeatAfter } = createSleeper();
    heartbeatAfter(4_000);
    for (let i = 0; i < 4; i++) heartbeatAfter(400);
    expect([...gossip.connectedHosts]).toEqual([]);
  });
});

describe("gossip under failure", () => {
  it("a host that dies is unknown to all, and known again after a restart", () => {
    const fleet = createFleet(171);
    fleet.stop("host-7");
    fleet.timer.advance(DETECTION_MS);
    expect(fleet.connected("host-1").has("host-7")).toEqual(false);
    fleet.start("host-7");
    fleet.timer.advance(DETECTION_MS);
    expect(fleet.connected("host-1").has("host-7")).toEqual(true);
    expect(fleet.connected("host-7").size).toEqual(170);
  });

  it("a frozen host is missing for all, and makes nobody else missing", () => {
    const fleet = createFleet(171);
    fleet.freeze("host-7", 4_000);
    fleet.timer.advance(DETECTION_MS);
    expect(fleet.connected("host-1").has("host-7")).toEqual(false);
    for (let i = 0; i < 10; i++) {
      fleet.timer.advance(300);
      expect(fleet.connected("host-1").size).toBeGreaterThanOrEqual(169);
    }
    fleet.timer.advance(DETECTION_MS);
    expect(fleet.connected("host-1").size).toEqual(170);
  });

  it("news reach all others at once while some hosts are frozen", () => {
    const fleet = createFleet(54);
    const frozen = ["host-7", "host-20", "host-33", "host-46"];
    for (const name of frozen) fleet.freeze(name, 4_000);
    fleet.publish("host-1", "while frozen");
    fleet.timer.advance(NEWS_MS);
    const learned = fleet.learnedAt("while frozen");
    const late = fleet.names.filter((name, i) =>
      learned[i] === undefined && !frozen.includes(name)
    );
    expect(late).toEqual([]);
  });

  it("four hosts that freeze at once are missing for all in time", () => {
    for (const count of [14, 54]) {
      const fleet = createFleet(count);
      for (let first = 0; first < 4; first++) {
        const frozen = [0, 1, 2, 3].map((i) => `host-${first + i}`);
        for (const name of frozen) fleet.freeze(name, 6_000);
        fleet.timer.advance(FROZEN_KNOWN_MS);
        for (const name of fleet.names.filter((it) => !frozen.includes(it))) {
          const known = frozen.filter((it) => fleet.connected(name).has(it));
          expect(known).toEqual([]);
        }
        fleet.timer.advance(6_000 + DETECTION_MS);
      }
    }
  });

  it("herd: half of the hosts die at once, the others stay connected", () => {
    const fleet = createFleet(171);
    const stopped = fleet.names.filter((_, i) => i % 9 < 5);
    for (const name of stopped) fleet.stop(name);
    fleet.timer.advance(DETECTION_MS + NEWS_MS);
    const running = fleet.names.filter((it) => !stopped.includes(it));
    for (const name of running) {
      expect(fleet.connected(name).size).toEqual(running.length - 1);
    }
    expect(timeToAll(fleet, running[0] ?? "")).toBeLessThanOrEqual(NEWS_MS);
  });

  it("a data centre that is cut off sees itself alone, and returns", () => {
    const fleet = createFleet(171);
    const isInside = (name: string) => dataCentreOf(name) === "dc-2";
    fleet.canReach = (a, b) => isInside(a) === isInside(b);
    fleet.timer.advance(DETECTION_MS);
    const inside = fleet.names.filter(isInside);
    expect(fleet.connected("host-2").size).toEqual(inside.length - 1);
    expect(fleet.connected("host-1").size).toEqual(170 - inside.length);
    fleet.publish("host-2", "cut");
    fleet.canReach = () => true;
    fleet.timer.advance(DETECTION_MS);
    expect(fleet.connected("host-1").size).toEqual(170);
    expect(fleet.learnedAt("cut")).not.toInclude(undefined);
  });

  it("any order of deaths, restarts, freezes and cuts heals", () => {
    const trouble = fc.record({
      kind: fc.constantFrom("stop", "start", "freeze", "cut", "heal"),
      at: fc.nat({ max: 35 }),
      waitMs: fc.nat({ max: 1_500 }),
    });
    fc.assert(
      fc.property(fc.array(trouble, { maxLength: 12 }), (troubles) => {
        const fleet = createFleet(36);
        troubles.forEach(({ kind, at, waitMs }, i) => {
          apply(fleet, kind, at);
          if (kind === "cut") fleet.publish("host-1", `during-${i}`);
          fleet.timer.advance(waitMs);
        });
        fleet.canReach = () => true;
        for (const name of fleet.names) fleet.start(name);
        fleet.timer.advance(2 * DETECTION_MS);
        for (const name of fleet.names) {
          expect(fleet.connected(name).size).toEqual(35);
          expect(fleet.isReady(name, "host-1") ?? true).toEqual(true);
        }
      }),
      { numRuns: 25, seed: 7 },
    );
  });
});

function apply(fleet: ModelFleet, kind: string, at: number): void {
  const name = `host-${at}`;
  const handlers: Record<string, () => void> = {
    stop: () => fleet.stop(name),
    start: () => fleet.start(name),
    freeze: () => fleet.freeze(name, 2_000),
    cut: () => {
      const half = (it: string) => Number(it.slice(5)) % 36 < at;
      fleet.canReach = (a, b) => half(a) === half(b);
    },
    heal: () => {
      fleet.canReach = () => true;
    },
  };
  handlers[kind]?.();
}

describe("confirmation of a link", () => {
  it("ends as soon as the neighbour reports not to hear this host", () => {
    const { gossip } = createSleeper();
    const report = { host: "b", state: "ready" };
    expect(gossip.confirmedAt("b")).toEqual(-Infinity);
    const heard = { ...report, version: 1, neighbours: ["a"] };
    gossip.receive("b", { reports: [heard], news: [] });
    expect(gossip.confirmedAt("b")).toEqual(1_000);
    const unheard = { ...report, version: 2, neighbours: [] };
    gossip.receive("b", { reports: [unheard], news: [] });
    expect(gossip.confirmedAt("b")).toEqual(-Infinity);
  });
});
