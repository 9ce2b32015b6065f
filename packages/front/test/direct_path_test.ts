import { createNoopLoggers } from "@toucantrestle/log";
import { createNoopMetrics } from "@toucantrestle/metrics";
import { createManualTimer, sleep } from "@toucantrestle/timer";
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

// Guards against the refusal of all requests while some upstreams answer: a
// front declared itself cut off because those that it drew had crashed.
describe("DirectPath, while crashed upstreams are listed", () => {
  const ids = ["u1", "u2", "u3", "u4", "u5", "u6", "u7", "u8"];

  it("finds no cut while others answer on open connections", async () => {
    const path = createPath(ids);
    path.reachable = new Set(["a7", "a8"]);
    path.track();
    for (let i = 0; i < 30; i++) {
      path.failConnect("u1");
      path.failConnect("u2");
      path.receive("u7");
      await path.pass(100);
    }
    expect(path.cuts).toEqual([]);
  });

  it("finds no cut if another was connected during the probes", async () => {
    const path = createPath(ids);
    path.reachable = new Set();
    path.probeMs = 300;
    path.track();
    path.failConnect("u1");
    path.failConnect("u2");
    await path.pass(400);
    path.connect("u8");
    await path.pass(400);
    expect(path.probes.length).toEqual(3);
    expect(path.cuts).toEqual([]);
  });

  it("tells a sibling that it reaches upstreams", async () => {
    const path = createPath(ids);
    path.reachable = new Set(["a8"]);
    await path.pass(100);
    path.receive("u8");
    await path.pass(1_000);
    expect(await path.reachesNow()).toEqual(true);
  });

  it("notices the end of a cut if the last ones heard have crashed", async () => {
    const path = createPath(ids);
    path.track();
    await path.pass(100);
    for (const id of ["u1", "u2", "u3"]) path.receive(id);
    path.reachable = new Set();
    await path.pass(1_000);
    expect(path.isCut()).toEqual(true);
    path.reachable = new Set(["a4", "a5", "a6", "a7", "a8"]);
    await path.pass(1_000);
    expect(path.isCut()).toEqual(false);
  });
});

/** Creates the way to some upstreams, whose probes take a given time. */
function createPath(ids = ["u1", "u2", "u3"]) {
  const timer = createManualTimer();
  const contact = new UpstreamContact({ timer, metrics: createNoopMetrics() });
  const addresses = ids.map((id) => id.replace("u", "a"));
  const listeners = new Map(ids.map((id) => [id, contact.listenerOf(id)]));
  const fixture = {
    reachable: new Set(addresses),
    probeMs: 0,
    probes: [] as string[],
    cuts: [] as PathCut[],
    track: () => path.track(),
    isCut: () => path.isCut,
    reachesNow: () => path.reachesNow(),
    failConnect: (id: string) => listeners.get(id)?.onConnectFailed(),
    connect: (id: string) => listeners.get(id)?.onConnected(),
    receive: (id = "u1") => listeners.get(id)?.onReceived(),
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
    candidates: () => ids.map((id, i) => ({ id, address: addresses[i] ?? "" })),
    async probe(address) {
      fixture.probes.push(address);
      if (fixture.probeMs > 0) await sleep(timer, fixture.probeMs);
      return fixture.reachable.has(address);
    },
    random: () => 0,
    log: createNoopLoggers()("upstream"),
  });
  path.onCut((cut) => fixture.cuts.push(cut));
  path.start();
  return fixture;
}
