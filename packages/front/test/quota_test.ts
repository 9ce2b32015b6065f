import { createNoopMetrics, type Metrics } from "@toucantrestle/metrics";
import { DEFAULT_BOUNDS, maxInWindow } from "@toucantrestle/quota";
import { expect } from "earl";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { type CallResult, TestCluster } from "./test_cluster.ts";

const FRONTS = 3;
/** Time between two looks at what is due. */
const POLL_INTERVAL_MS = 5;
const SETTLE_TIMEOUT_MS = 8_000;
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
/** Part of the fleet for which each front may grant tokens. */
const fractions: number[] = Array(FRONTS).fill(0);

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
  for (let i = 0; i < FRONTS; i++) {
    await cluster.addFront({ metrics: gaugesOf(i) });
  }
  await cluster.waitUntilReady("/free/x");
  await waitUntilSettled();
});

after(() => cluster.close());

afterEach((t) => cluster.printLogIfFailed(t));

beforeEach(() => {
  runs = new Map();
  failure = "none";
});

/** Creates metrics that keep for which part of the fleet a front may grant. */
function gaugesOf(front: number): Metrics {
  const metrics = createNoopMetrics();
  metrics.gauge = (name, value) => {
    if (name === "quota_fleet_fraction") fractions[front] = value;
  };
  return metrics;
}

/** Waits until whichever front grants tokens grants those of all fronts. */
async function waitUntilSettled(): Promise<void> {
  const deadline = performance.now() + SETTLE_TIMEOUT_MS;
  while (performance.now() < deadline) {
    for (const front of cluster.fronts) front.reportGauges();
    if (fractions.every((it) => it === 1)) return;
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  throw new Error(`fleet not known within ${SETTLE_TIMEOUT_MS} ms`);
}

function send(organisation: string, front: number): Promise<CallResult> {
  const headers = { "x-id": `quota-${nextId++}`, "x-key": organisation };
  return cluster.call("/x/a", { front, headers });
}

/**
 * Sends requests to the fronts in turn at a steady rate. What a stall of this
 * process delays is sent later at the same rate and not in a burst.
 */
async function sendSteadily(
  organisation: string,
  { ratePerS, count }: { ratePerS: number; count: number },
): Promise<CallResult[]> {
  const intervalMs = 1_000 / ratePerS;
  const calls: Promise<CallResult>[] = [];
  let dueAt = performance.now();
  while (calls.length < count) {
    const lateMs = performance.now() - dueAt;
    if (lateMs > intervalMs) dueAt += lateMs;
    if (lateMs >= 0) {
      calls.push(send(organisation, calls.length % FRONTS));
      dueAt += intervalMs;
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  return await Promise.all(calls);
}

describe("quota of an organisation over all fronts", () => {
  it("refuses no request under the quota, and no burst of a small one", async () => {
    const steady = sendSteadily("large", { ratePerS: 37, count: 4 * 37 });
    const burst = await Promise.all(
      Array.from({ length: 8 }, (_, i) => send("small", i % FRONTS)),
    );
    const results = [...burst, ...await steady];
    expect(results.filter((it) => it.status !== 200)).toEqual([]);
  });

  it("refuses requests beyond the quota, and tells when to come back", async () => {
    const results = await sendSteadily("hot", { ratePerS: 60, count: 6 * 60 });
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
