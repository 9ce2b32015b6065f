import { expect } from "earl";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { TestCluster } from "./test_cluster.ts";

const FRONTS = 3;
const WINDOW_MS = 4_000;
/** Before this time after a limit was first named, it need not be kept. */
const SETTLE_MS = 3_000;
/** Time between two calls to one front. */
const CALL_INTERVAL_MS = 60;
/** Services of the upstreams. */
const SERVICES = { free: "s", slow: "s", slow2: "t", slow3: "t", only: "u" };

const cluster = new TestCluster();
/** Requests per second that an upstream names; undefined for no limit. */
let limits: Map<string, number>;
/** Times at which each upstream received requests. */
let arrivals: Map<string, number[]>;
let nextId = 0;

before(async () => {
  cluster.configure([
    { prefix: "/both/", services: [{ service: "s", weight: 1 }] },
    { prefix: "/all/", services: [{ service: "t", weight: 1 }] },
    { prefix: "/one/", services: [{ service: "u", weight: 1 }] },
  ]);
  limits = new Map();
  arrivals = new Map();
  for (const [id, service] of Object.entries(SERVICES)) {
    await cluster.addUpstream(id, (_received, res) => {
      arrivals.get(id)?.push(performance.now());
      const limit = limits.get(id);
      if (limit !== undefined) res.setHeader("x-limit", String(limit));
      res.end("done");
    }, { service });
  }
  for (let i = 0; i < FRONTS; i++) await cluster.addFront();
  await cluster.waitUntilReady("/both/x");
  await cluster.waitUntilReady("/all/x");
  await cluster.waitUntilReady("/one/x");
});

after(() => cluster.close());

afterEach((t) => cluster.printLogIfFailed(t));

beforeEach(() => {
  limits = new Map();
  arrivals = new Map(Object.keys(SERVICES).map((it) => [it, []]));
});

/** Calls each front in turn for a time and returns all results. */
async function callAll(path: string, forMs: number) {
  const startedAt = performance.now();
  const calls = [];
  while (performance.now() - startedAt < forMs) {
    for (let front = 0; front < FRONTS; front++) {
      const headers = { "x-id": `limit-${nextId++}` };
      calls.push(cluster.call(path, { front, headers }));
    }
    await new Promise((resolve) => setTimeout(resolve, CALL_INTERVAL_MS));
  }
  return await Promise.all(calls);
}

/** Most arrivals in any window that begins after the limit has settled. */
function mostInWindow(id: string, since: number): number {
  const times = (arrivals.get(id) ?? []).filter((it) => it >= since);
  const counts = times.map((from) =>
    times.filter((it) => it >= from && it < from + WINDOW_MS).length
  );
  return Math.max(0, ...counts);
}

function allowedInWindow(limitPerS: number): number {
  return 1.5 * limitPerS * WINDOW_MS / 1_000 + 5;
}

describe("upstream that limits its requests", () => {
  // Guards against LIMIT: an upstream got far more than the limit it had named.
  for (const limitPerS of [4, 0.5]) {
    it(`gets no more than ${limitPerS}/s from all fronts together`, async () => {
      limits.set("slow", limitPerS);
      const startedAt = performance.now();
      const results = await callAll("/both/x", SETTLE_MS + WINDOW_MS);
      expect(results.every((it) => it.status === 200)).toEqual(true);
      const most = mostInWindow("slow", startedAt + SETTLE_MS);
      expect(most).toBeLessThanOrEqual(allowedInWindow(limitPerS));
    });
  }

  it("gets all that it takes when others are limited too, the rest is refused", async () => {
    limits.set("slow2", 3);
    limits.set("slow3", 2);
    const startedAt = performance.now();
    const results = await callAll("/all/x", SETTLE_MS + WINDOW_MS);
    for (const [id, limitPerS] of [["slow2", 3], ["slow3", 2]] as const) {
      const most = mostInWindow(id, startedAt + SETTLE_MS);
      expect(most).toBeLessThanOrEqual(allowedInWindow(limitPerS));
      expect(most).toBeGreaterThanOrEqual(0.7 * limitPerS * WINDOW_MS / 1_000);
    }
    const refused = results.filter((it) => it.status === 503);
    expect(refused.length).toBeGreaterThan(0);
    expect(refused.every((it) => Number(it.headers["retry-after"]) > 0))
      .toEqual(true);
    const others = results.filter((it) => it.status !== 503);
    expect(others.every((it) => it.status === 200)).toEqual(true);
  });

  it("is used as before once it names no limit any more", async () => {
    limits.set("only", 1);
    await callAll("/one/x", 1_000);
    limits.delete("only");
    await callAll("/one/x", 2_000);
    const results = await callAll("/one/x", 1_000);
    expect(results.every((it) => it.status === 200)).toEqual(true);
  });
});
