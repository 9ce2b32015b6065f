import { createNoopMetrics } from "@toucantrestle/metrics";
import { DEFAULT_BOUNDS, maxInWindow } from "@toucantrestle/quota";
import { expect } from "earl";
import { after, before, beforeEach, describe, it } from "node:test";
import { type CallResult, TestCluster } from "./test_cluster.ts";

const FRONTS = 3;
const QUOTAS = {
  large: { ratePerS: 60, burst: 20 },
  small: { ratePerS: 0.5, burst: 0.5 },
  hot: { ratePerS: 8, burst: 2 },
};

const cluster = new TestCluster();
/** Times at which requests of each organisation ran. */
let runs: Map<string, number[]>;
/** Status with which the upstream declines or fails requests. */
let failure: "none" | "declined" | "cut" = "none";
let nextId = 0;

before(async () => {
  const limited = Object.entries(QUOTAS).map(([name, quota]) => ({
    name,
    keys: [name],
    ...quota,
  }));
  cluster.configure(
    [
      { prefix: "/x/", maxRuns: 3 },
      { name: "free", prefix: "/free/", isPublic: true },
    ],
    { organisations: [...limited, { name: "unlimited", keys: ["unlimited"] }] },
  );
  runs = new Map();
  await cluster.addUpstream("u", ({ headers }, res) => {
    const name = String(headers["x-organisation"]);
    if (failure === "declined") {
      res.writeHead(503, { "x-not-run": "1" }).end();
      return;
    }
    runs.set(name, [...runs.get(name) ?? [], performance.now()]);
    if (failure === "cut") res.socket?.destroy();
    else res.end("done");
  });
  for (let i = 0; i < FRONTS; i++) await cluster.addFront();
  await cluster.waitUntilReady("/free/x");
});

after(() => cluster.close());

beforeEach(() => {
  runs = new Map();
  failure = "none";
});

function send(organisation: string, front: number): Promise<CallResult> {
  const headers = { "x-id": `quota-${nextId++}`, "x-key": organisation };
  return cluster.call("/x/a", { front, headers });
}

/** Sends requests to the fronts in turn at a steady rate. */
async function sendSteadily(
  organisation: string,
  { ratePerS, forMs }: { ratePerS: number; forMs: number },
): Promise<CallResult[]> {
  const startedAt = performance.now();
  const calls: Promise<CallResult>[] = [];
  while (performance.now() - startedAt < forMs) {
    const due = (performance.now() - startedAt) / 1_000 * ratePerS;
    while (calls.length < due) {
      calls.push(send(organisation, calls.length % FRONTS));
    }
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  return await Promise.all(calls);
}

describe("quota of an organisation over all fronts", () => {
  it("refuses no request under the quota, and no burst of a small one", async () => {
    const steady = sendSteadily("large", { ratePerS: 37, forMs: 4_000 });
    const burst = await Promise.all(
      Array.from({ length: 8 }, (_, i) => send("small", i % FRONTS)),
    );
    const results = [...burst, ...await steady];
    expect(results.filter((it) => it.status !== 200)).toEqual([]);
  });

  it("refuses requests beyond the quota, and tells when to come back", async () => {
    const results = await sendSteadily("hot", { ratePerS: 60, forMs: 6_000 });
    const times = runs.get("hot") ?? [];
    const most = Math.max(
      ...times.map((from) =>
        times.filter((it) => it >= from && it < from + DEFAULT_BOUNDS.windowMs)
          .length
      ),
    );
    expect(most).toBeLessThanOrEqual(maxInWindow(QUOTAS.hot, DEFAULT_BOUNDS));
    expect(times.length).toBeGreaterThanOrEqual(0.8 * 8 * 6);
    const refused = results.filter((it) => it.status === 429);
    expect(refused.length).toEqual(results.length - times.length);
    for (const { headers } of refused) {
      expect(headers["retry-after"]).toEqual(expect.regex(/^\d+\.\d+$/));
      expect(Number(headers["retry-after"])).toBeGreaterThan(0);
    }
  });

  it("does not limit an organisation without a quota", async () => {
    const results = await Promise.all(
      Array.from({ length: 60 }, (_, i) => send("unlimited", i % FRONTS)),
    );
    expect(results.every((it) => it.status === 200)).toEqual(true);
  });

  // Guards against requests that are retried without a token.
  it("answers 429 only if nothing can have run", async () => {
    for (const kind of ["declined", "cut"] as const) {
      failure = kind;
      const results = await Promise.all(
        Array.from({ length: 40 }, () => send("hot", 0)),
      );
      const count = runs.get("hot")?.length ?? 0;
      const allowed = maxInWindow(QUOTAS.hot, DEFAULT_BOUNDS);
      expect(count).toBeLessThanOrEqual(allowed);
      const notRun = results.filter((it) => [429, 503].includes(it.status));
      expect(results.length - notRun.length).toBeLessThanOrEqual(count);
    }
  });
});

describe("deployment without quotas", () => {
  it("sends no message for them", async () => {
    const counts = new Map<string, number>();
    const metrics = createNoopMetrics();
    metrics.count = (name) => counts.set(name, (counts.get(name) ?? 0) + 1);
    const plain = new TestCluster();
    try {
      plain.configure([{ prefix: "/x/" }]);
      await plain.addUpstream("u");
      for (let i = 0; i < 2; i++) await plain.addFront({ metrics });
      await plain.waitUntilReady("/x/a");
      const names = [...counts.keys()].filter((it) => it.startsWith("quota"));
      expect(names).toEqual([]);
      expect(counts.has("answers")).toEqual(true);
    } finally {
      await plain.close();
    }
  });
});
