import { expect } from "earl";
import { type ClientRequest, request, type ServerResponse } from "node:http";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { type CutKind, PathFault } from "./path_fault.ts";
import { processorNow } from "./processor_clock.ts";
import {
  type CallResult,
  type ReceivedRequest,
  respondWithEvents,
  TestCluster,
} from "./test_cluster.ts";

/** From this time after a cut on, callers are served as elsewhere. */
const STABLE_MS = 3_000;
const CUTS: CutKind[] = ["hang", "reset", "refuse_new"];
const CALLS = 30;
/** Within this time after a caller has left its work must end, in ms. */
const WAIT_MS = 500;
/** Time between the starts of two calls. */
const CALL_INTERVAL_MS = 50;

let cluster: TestCluster;
let paths: PathFault[];
let nextId: number;
/** Streams of the slow path that upstreams are writing. */
let slowStreams = 0;

beforeEach(async () => {
  cluster = new TestCluster();
  nextId = 0;
  const engine = { services: [{ service: "e", weight: 1 }] };
  const stream = { kind: "streaming", ...engine } as const;
  cluster.configure([
    { prefix: "/plain/" },
    { prefix: "/once/", kind: "non_idempotent", maxRuns: 1 },
    { ...stream, prefix: "/turn/", keepsTurns: true, isResumable: true },
    { ...stream, prefix: "/slow/" },
    {
      prefix: "/held/",
      kind: "non_idempotent",
      maxRuns: 1,
      timeoutMs: 10_000,
      services: [{ service: "h", weight: 1 }],
    },
    {
      prefix: "/pausing/",
      kind: "non_idempotent",
      maxRuns: 1,
      services: [{ service: "q", weight: 1 }],
    },
  ]);
  await cluster.addTurnStores(3);
  for (const id of ["p1", "p2"]) await cluster.addUpstream(id);
  for (const id of ["e1", "e2"]) {
    await cluster.addUpstream(id, serveStream, { service: "e" });
  }
  await cluster.addUpstream("held", () => {}, { service: "h" });
  await cluster.addUpstream(
    "pausing",
    (_received, res) => setTimeout(() => res.end("done"), 1_200),
    { service: "q" },
  );
  paths = [new PathFault(), new PathFault(), new PathFault()];
  for (const { dial } of paths) await cluster.addFront({ dial });
  await cluster.waitUntilReady("/plain/x");
  await cluster.waitUntilReady("/turn/x", turnHeaders());
});

afterEach(async (t) => {
  cluster.printLogIfFailed(t);
  await cluster.close();
});

/** Streams at once, or one event after the other for a slow path. */
function serveStream(received: ReceivedRequest, res: ServerResponse): void {
  if (!received.path.startsWith("/slow/")) {
    return respondWithEvents("one", "two")(received, res);
  }
  res.writeHead(200, { "content-type": "text/event-stream" });
  slowStreams += 1;
  let sent = 0;
  const interval = setInterval(() => {
    sent += 1;
    res.write(`id: ${sent}\ndata: ${sent}\n\n`);
    if (sent < SLOW_EVENTS) return;
    clearInterval(interval);
    res.end();
  }, SLOW_EVENT_INTERVAL_MS);
  res.on("close", () => {
    slowStreams -= 1;
    clearInterval(interval);
  });
}

const SLOW_EVENTS = 10;
const SLOW_EVENT_INTERVAL_MS = 60;

function turnHeaders(): Record<string, string> {
  return {
    "x-program": `p${nextId++}`,
    "x-budget": "1000",
    "x-prompt-tokens": "10",
    "x-max-output": "5",
  };
}

/** Makes one call after the other to a front, without waiting for each. */
async function callMany(path: string, front = 0): Promise<CallResult[]> {
  const calls: Promise<CallResult>[] = [];
  for (let i = 0; i < CALLS; i++) {
    const headers = { ...turnHeaders(), "x-id": `c${nextId++}` };
    calls.push(cluster.call(path, { front, headers }));
    await delay(CALL_INTERVAL_MS);
  }
  return await Promise.all(calls);
}

/** Cuts the first front off and calls it until the cut has been noticed. */
async function cutAndSettle(kind: CutKind): Promise<void> {
  paths[0]?.cut(kind);
  const startedAt = performance.now();
  while (performance.now() - startedAt < STABLE_MS) {
    const headers = { ...turnHeaders(), "x-id": `w${nextId++}` };
    const path = nextId % 2 === 0 ? "/plain/x" : "/turn/x";
    cluster.call(path, { headers }).catch(() => {});
    await delay(CALL_INTERVAL_MS);
  }
  cluster.received.length = 0;
}

/** Opens a call to the first front that the test reads itself. */
function openCall(path: string): ClientRequest {
  const [host, port] = String(cluster.callerAddresses[0]).split(":");
  const headers = { ...turnHeaders(), host: "x.example", "x-id": "open" };
  const req = request({ host, port, path, headers, agent: false });
  req.end();
  return req;
}

/** Returns the processor times at which the events of a stream arrive. */
function readArrivals(path: string): Promise<number[]> {
  return new Promise((resolve, reject) => {
    const arrivals: number[] = [];
    const req = openCall(path);
    req.on("error", reject);
    req.on("response", (res) => {
      res.on("data", () => arrivals.push(processorNow()));
      res.on("end", () => resolve(arrivals));
    });
  });
}

function gaps(times: number[]): number[] {
  return times.slice(1).map((it, i) => it - (times[i] as number));
}

async function waitFor(isDone: () => boolean): Promise<void> {
  const deadline = performance.now() + WAIT_MS;
  while (!isDone()) {
    if (performance.now() > deadline) throw new Error("waited in vain");
    await delay(10);
  }
}

function isServed({ status, isComplete }: CallResult): boolean {
  return status === 200 && isComplete;
}

describe("front that reaches no upstream", () => {
  // Guards against RECOVER: callers of such a front were hardly served.
  for (const kind of CUTS) {
    it(`serves its callers through siblings 3 s after the cut (${kind})`, async () => {
      await cutAndSettle(kind);
      for (const path of ["/plain/x", "/once/x", "/turn/x", "/slow/x"]) {
        const results = await callMany(path);
        expect(results.filter((it) => !isServed(it))).toEqual([]);
      }
    });
  }

  it("passes each event of a stream on at once", async () => {
    await cutAndSettle("hang");
    const arrivals = await readArrivals("/slow/x");
    expect(arrivals.length).toEqual(SLOW_EVENTS);
    const longest = Math.max(...gaps(arrivals));
    expect(longest).toBeLessThan(2 * SLOW_EVENT_INTERVAL_MS);
  });

  it("stops the upstream's work when the caller leaves", async () => {
    await cutAndSettle("hang");
    const req = openCall("/slow/x");
    req.on("error", () => {});
    await waitFor(() => slowStreams === 1);
    req.destroy();
    await waitFor(() => slowStreams === 0);
  });

  it("keeps the budget of a program", async () => {
    await cutAndSettle("hang");
    const headers = { ...turnHeaders(), "x-budget": "8" };
    const statuses: number[] = [];
    for (let i = 0; i < 3; i++) {
      const id = { "x-id": `b${nextId++}` };
      const path = "/turn/x";
      statuses.push(
        (await cluster.call(path, { headers: { ...headers, ...id } })).status,
      );
    }
    expect(statuses).toEqual([200, 200, 402]);
  });

  it("does not repeat a call that may have run when the sibling dies", async () => {
    await cutAndSettle("hang");
    const path = "/held/x";
    const call = cluster.call(path, { headers: { "x-id": "held" } });
    await waitFor(() => cluster.received.some((it) => it.path === path));
    for (const front of cluster.fronts.slice(1)) front.close();
    expect((await call).status).toEqual(502);
    const runs = cluster.received.filter((it) => it.path === path);
    expect(runs.length).toEqual(1);
  });

  it("goes through another sibling when one has died", async () => {
    await cutAndSettle("hang");
    cluster.fronts[1]?.close();
    await delay(300);
    const results = await callMany("/plain/x");
    expect(results.filter((it) => !isServed(it))).toEqual([]);
  });

  it("refuses calls at once if no sibling reaches an upstream either", async () => {
    for (const path of paths) path.cut("hang");
    for (let i = 0; i < 3_000 / CALL_INTERVAL_MS; i++) {
      for (const front of [0, 1, 2]) {
        const headers = { "x-id": `w${nextId++}` };
        cluster.call("/plain/x", { front, headers }).catch(() => {});
      }
      await delay(CALL_INTERVAL_MS);
    }
    const startedAt = performance.now();
    const result = await cluster.call("/plain/x", { headers: { "x-id": "r" } });
    expect(result.status).toEqual(503);
    expect(Number(result.headers["retry-after"])).toBeGreaterThan(0);
    expect(performance.now() - startedAt).toBeLessThan(200);
  });

  it("refuses calls at once while the upstreams of a service are dead", async () => {
    for (const id of ["p1", "p2"]) cluster.crashUpstream(id);
    await callMany("/plain/x");
    const startedAt = performance.now();
    const result = await cluster.call("/plain/x", { headers: { "x-id": "r" } });
    expect(result.status).toEqual(503);
    expect(performance.now() - startedAt).toBeLessThan(200);
  });

  it("takes the direct way again after the cut", async () => {
    await cutAndSettle("hang");
    paths[0]?.heal();
    await delay(1_500);
    const before = paths[1]?.dialCount;
    const results = await callMany("/plain/x");
    expect(results.filter((it) => !isServed(it))).toEqual([]);
    expect(paths[1]?.dialCount).toEqual(before);
  });
});

describe("upstream that is silent for a second", () => {
  it("is not given up, and its answer is passed on", async () => {
    const answer = cluster.call("/pausing/x", { headers: { "x-id": "p" } });
    const others = await callMany("/plain/x");
    expect(others.filter((it) => !isServed(it))).toEqual([]);
    expect((await answer).status).toEqual(200);
    const runs = cluster.received.filter((it) => it.path === "/pausing/x");
    expect(runs.length).toEqual(1);
  });
});

describe("connections to upstreams that go silent for good", () => {
  // Guards against calls that hang on connections that carry nothing (severed).
  it("hold up no call from 3 s on, as new ones work", async () => {
    await Promise.all([callMany("/slow/x"), callMany("/plain/x")]);
    await cutAndSettle("silence_open");
    for (const path of ["/plain/x", "/once/x", "/turn/x", "/slow/x"]) {
      const results = await callMany(path);
      expect(results.filter((it) => !isServed(it))).toEqual([]);
    }
  });
});
