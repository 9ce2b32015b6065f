import { createNoopLoggers } from "@toucantrestle/log";
import { createNoopMetrics } from "@toucantrestle/metrics";
import { createManualTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { describe, it } from "node:test";
import { DirectPath, type PathCut } from "../src/direct_path.ts";
import { UpstreamContact } from "../src/upstream_contact.ts";

describe("DirectPath", () => {
  it("finds a cut when all upstreams are silent and accept nothing", async () => {
    const path = createPath();
    path.reachable = new Set();
    path.track();
    await path.pass(1_000);
    expect(path.isCut()).toEqual(true);
    expect(path.cuts).toEqual([{ isSilent: true }]);
  });

  it("finds a cut when connections fail while open ones live on", async () => {
    const path = createPath();
    path.reachable = new Set();
    path.track();
    path.failConnect("u1");
    path.failConnect("u2");
    for (let i = 0; i < 10; i++) {
      path.receive();
      await path.pass(100);
    }
    expect(path.cuts).toEqual([{ isSilent: false }]);
  });

  it("takes one silent upstream among others for no cut", async () => {
    const path = createPath();
    path.reachable = new Set(["a2", "a3"]);
    path.track();
    await path.pass(3_000);
    expect(path.isCut()).toEqual(false);
  });

  it("probes nothing while responses arrive or nothing is in flight", async () => {
    const path = createPath();
    await path.pass(3_000);
    const end = path.track();
    for (let i = 0; i < 30; i++) {
      path.receive();
      await path.pass(100);
    }
    end();
    await path.pass(3_000);
    expect(path.probes).toEqual([]);
  });

  it("opens at most one connection each half second to a slow upstream", async () => {
    const path = createPath();
    path.track();
    await path.pass(5_000);
    expect(path.probes.length).toBeLessThanOrEqual(10);
  });

  it("notices within a second that upstreams can be reached again", async () => {
    const path = createPath();
    path.reachable = new Set();
    path.track();
    await path.pass(1_000);
    path.reachable = new Set(["a1", "a2", "a3"]);
    await path.pass(1_000);
    expect(path.isCut()).toEqual(false);
  });
});

/** Creates the way to three upstreams, with probes that answer at once. */
function createPath() {
  const timer = createManualTimer();
  const contact = new UpstreamContact({ timer, metrics: createNoopMetrics() });
  const fixture = {
    reachable: new Set(["a1", "a2", "a3"]),
    probes: [] as string[],
    cuts: [] as PathCut[],
    track: () => path.track(),
    isCut: () => path.isCut,
    failConnect: (id: string) => contact.listenerOf(id).onConnectFailed(),
    receive: () => contact.listenerOf("u1").onReceived(),
    /** Lets time pass in steps, and probes finish after each. */
    async pass(ms: number) {
      for (let passed = 0; passed < ms; passed += 100) {
        timer.advance(100);
        for (let i = 0; i < 5; i++) await Promise.resolve();
      }
    },
  };
  const path = new DirectPath({
    timer,
    contact,
    addresses: () => ["a1", "a2", "a3"],
    probe(address) {
      fixture.probes.push(address);
      return Promise.resolve(fixture.reachable.has(address));
    },
    random: () => 0,
    log: createNoopLoggers()("upstream"),
  });
  path.onCut((cut) => fixture.cuts.push(cut));
  path.start();
  return fixture;
}
