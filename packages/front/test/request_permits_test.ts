import { createNoopLoggers } from "@toucantrestle/log";
import { type UpstreamEntry, UpstreamNotices } from "@toucantrestle/routing";
import { createManualTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { Collectors } from "../src/collectors.ts";
import { FleetShare } from "../src/fleet_share.ts";
import { RequestPermits } from "../src/request_permits.ts";

const WINDOW_MS = 4_000;
const STEP_MS = 20;
const PLAIN_REQUEST = { kind: "new", weight: 1 } as const;

/** Most requests that an upstream may get in a window. */
function allowedInWindow(limitPerS: number): number {
  return 1.5 * limitPerS * WINDOW_MS / 1_000 + 5;
}

// Guards against LIMIT: an upstream got far more than the limit it had named.
describe("permits for a limited upstream", () => {
  const sizes: [fronts: number, limitPerS: number][] = [
    [7, 0.4],
    [8, 6],
    [54, 0.7],
    [330, 30],
  ];
  for (const [fronts, limitPerS] of sizes) {
    it(`${fronts} fronts share ${limitPerS}/s and use it`, async () => {
      const fleet = createFleet(fronts, limitPerS);
      await fleet.pressFor(10_000);
      const allowed = allowedInWindow(limitPerS);
      expect(fleet.mostInWindow()).toBeLessThanOrEqual(allowed);
      const least = Math.floor(0.9 * limitPerS * 10) - 1;
      expect(fleet.grantCount()).toBeGreaterThanOrEqual(least);
    });
  }

  it("one front that gets all callers may use the whole limit", async () => {
    const fleet = createFleet(8, 5);
    await fleet.pressFor(20_000, ["front-3"]);
    expect(fleet.grantCount()).toBeGreaterThanOrEqual(90);
  });

  it("fronts cut off from each other use no more than their parts", async () => {
    const fleet = createFleet(54, 2);
    fleet.split(54);
    await fleet.pressFor(20_000);
    expect(fleet.mostInWindow()).toBeLessThanOrEqual(allowedInWindow(2));
  });

  it("halves that are cut off from each other share the limit", async () => {
    const fleet = createFleet(8, 5);
    fleet.split(2);
    await fleet.pressFor(30_000);
    expect(fleet.mostInWindow()).toBeLessThanOrEqual(allowedInWindow(5));
    expect(fleet.grantCount()).toBeGreaterThanOrEqual(100);
  });

  it("is used while the collector does not answer, within the limit", async () => {
    const fleet = createFleet(8, 8);
    fleet.silence(fleet.collector());
    await fleet.pressFor(10_000);
    expect(fleet.grantCount()).toBeGreaterThanOrEqual(50);
    expect(fleet.mostInWindow()).toBeLessThanOrEqual(allowedInWindow(8));
  });

  it("is used in full again after fronts have ended for good", async () => {
    const fleet = createFleet(8, 6);
    await fleet.pressFor(1_000);
    fleet.kill("front-1");
    fleet.kill("front-2");
    await fleet.pressFor(16_000);
    const before = fleet.grantCount();
    await fleet.pressFor(10_000);
    expect(fleet.grantCount() - before).toBeGreaterThanOrEqual(55);
  });

  it("follows a limit that falls, rises and ends", async () => {
    const fleet = createFleet(8, 20);
    await fleet.pressFor(5_000);
    fleet.setLimit(1);
    const from = fleet.timer.monotonicNow() + 1_000;
    await fleet.pressFor(10_000);
    expect(fleet.mostInWindow(from)).toBeLessThanOrEqual(allowedInWindow(1));
    fleet.setLimit(20);
    await fleet.pressFor(2_000);
    const before = fleet.grantCount();
    await fleet.pressFor(5_000);
    expect(fleet.grantCount() - before).toBeGreaterThanOrEqual(90);
    fleet.setLimit(undefined);
    await fleet.pressFor(15_000);
    const unlimited = fleet.grantCount();
    await fleet.pressFor(1_000);
    expect(fleet.grantCount() - unlimited).toEqual(8 * 1_000 / STEP_MS);
  });

  it("keeps a limit under any order of cuts, deaths and silence", async () => {
    const faults = fc.array(
      fc.record({
        kind: fc.constantFrom<FaultKind>("split", "kill", "silence", "heal"),
        value: fc.integer({ min: 1, max: 7 }),
      }),
      { maxLength: 6 },
    );
    const limits = fc.double({ min: 0.2, max: 20, noNaN: true });
    await fc.assert(
      fc.asyncProperty(limits, faults, async (limitPerS, steps) => {
        const fleet = createFleet(8, limitPerS);
        await fleet.pressFor(1_000);
        for (const { kind, value } of steps) {
          FAULTS[kind](fleet, value);
          await fleet.pressFor(1_500);
        }
        expect(fleet.mostInWindow()).toBeLessThanOrEqual(
          allowedInWindow(limitPerS),
        );
      }),
      { numRuns: 30 },
    );
  });
});

type TestFleet = ReturnType<typeof createFleet>;

type FaultKind = "split" | "kill" | "silence" | "heal";

const FAULTS: Record<FaultKind, (fleet: TestFleet, value: number) => void> = {
  split: (fleet, parts) => fleet.split(parts),
  kill: (fleet, index) => fleet.kill(`front-${index}`),
  silence: (fleet, index) => fleet.silence(`front-${index}`),
  heal: (fleet) => fleet.split(1),
};

/** Creates fronts that all know the limit of one upstream, without a network. */
function createFleet(count: number, limitPerS: number) {
  const timer = createManualTimer();
  const upstream = createUpstream();
  const alive = new Set(Array.from({ length: count }, (_, i) => `front-${i}`));
  const registered = [...alive];
  const silent = new Set<string>();
  const notices = new Map<string, UpstreamNotices>();
  const permits = new Map<string, RequestPermits>();
  const collectors = new Map<string, Collectors>();
  const grants: number[] = [];
  let parts = 1;
  let limit: number | undefined = limitPerS;

  const isConnected = (a: string, b: string) =>
    a !== b && alive.has(b) && partOf(a) === partOf(b);
  const partOf = (host: string) => Number(host.split("-")[1]) % parts;

  function learn(host: string): void {
    notices.get(host)?.record({
      upstream: upstream.id,
      startedAt: 0,
      maxRequestsPerS: limit,
      isLeaving: false,
      at: timer.monotonicNow(),
    });
  }

  for (const self of registered) {
    const connected = {
      get connectedHosts() {
        return registered.filter((it) => isConnected(self, it));
      },
    };
    const own = new UpstreamNotices();
    const collecting = new Collectors({ self, timer, siblings: connected });
    notices.set(self, own);
    collectors.set(self, collecting);
    permits.set(
      self,
      new RequestPermits({
        self,
        timer,
        notices: own,
        collectors: collecting,
        share: new FleetShare({
          self,
          timer,
          connectedSiblings: () => collecting.siblings,
          registeredFronts: () => registered,
        }),
        links: {
          queryPermit(host, query) {
            const answers = isConnected(self, host) && !silent.has(host);
            const reply = answers && permits.get(host)?.answer(query);
            return reply
              ? Promise.resolve(reply)
              : Promise.reject(new Error("timed out"));
          },
        },
        log: createNoopLoggers()("sibling"),
      }),
    );
    learn(self);
  }

  return {
    timer,
    /** Lets fronts ask for a permit in each step of a time. */
    async pressFor(ms: number, fronts: string[] = registered) {
      for (let passed = 0; passed < ms; passed += STEP_MS) {
        for (const host of fronts) {
          const permit = permits.get(host);
          if (!alive.has(host) || !permit) continue;
          if (permit.waitMs(upstream, 1) > 0) continue;
          if (!await permit.ask(upstream, PLAIN_REQUEST)) continue;
          grants.push(timer.monotonicNow());
          learn(host);
        }
        timer.advance(STEP_MS);
      }
    },
    grantCount: () => grants.length,
    mostInWindow(since = 0): number {
      const times = grants.filter((it) => it >= since);
      let most = 0;
      let first = 0;
      times.forEach((at, i) => {
        while ((times[first] as number) <= at - WINDOW_MS) first += 1;
        most = Math.max(most, i - first + 1);
      });
      return most;
    },
    setLimit: (value: number | undefined) => limit = value,
    split: (count: number) => parts = count,
    silence: (host: string) => silent.add(host),
    kill: (host: string) => alive.delete(host),
    collector: () => collectors.get("front-0")?.of(upstream.id) ?? "",
  };
}

function createUpstream(): UpstreamEntry {
  return {
    id: "u1",
    service: "s",
    address: "10.0.0.1:80",
    dataCentre: "a",
    slots: 64,
    isDraining: false,
    coldLeftMs: 0,
    softwareVersion: "v1",
    startedAt: 0,
  };
}
