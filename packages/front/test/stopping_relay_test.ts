import { expect } from "earl";
import type { ServerResponse } from "node:http";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { PathFault } from "./path_fault.ts";
import {
  type CallResult,
  respondWithEvents,
  TestCluster,
} from "./test_cluster.ts";

const GRACE_MS = 6_000;
/** A front that has nothing to wait for ends within half of its grace. */
const LATE_IN_GRACE_MS = GRACE_MS / 2 + 500;
const WAIT_MS = 8_000;
const POLL_MS = 10;
/** By now siblings know what has changed. */
const GOSSIP_MS = 1_000;
const TIMEOUT_MS = 20_000;
/** Time that a call has which ends before the grace period does. */
const SHORT_CALL_MS = 500;

/** Calls that run once: plain, a stream, and one that may be resumed. */
const PATHS = ["/once/x", "/kept/x", "/resumable/x"];
/** Cut off from the upstreams. */
const ASKING = 0;
const OTHER_ASKING = 1;
/** The only one that reaches upstreams, unless a test heals another. */
const RELAY = 2;

let cluster: TestCluster;
let paths: PathFault[];
/** Responses that wait for their rest. */
let held: ServerResponse[];
let nextId: number;
/** How often fronts have found that they reach no upstream, or one again. */
let pathEvents: { path_cut: number; path_restored: number };

beforeEach(async () => {
  cluster = new TestCluster({
    loggers: () => ({ debug() {}, info() {}, warn: onWarning, error() {} }),
  });
  pathEvents = { path_cut: 0, path_restored: 0 };
  held = [];
  nextId = 0;
  const slow = {
    timeoutMs: TIMEOUT_MS,
    services: [{ service: "h", weight: 1 }],
  };
  const stream = { ...slow, kind: "streaming", keepsTurns: true } as const;
  cluster.configure([
    {
      prefix: "/warm/",
      kind: "streaming",
      keepsTurns: true,
      isResumable: true,
    },
    { ...slow, prefix: "/once/", kind: "non_idempotent", maxRuns: 1 },
    { ...stream, prefix: "/kept/", maxRuns: 1 },
    { ...stream, prefix: "/resumable/", isResumable: true },
  ]);
  await cluster.addTurnStores(3);
  for (const id of ["w1", "w2"]) {
    await cluster.addUpstream(id, respondWithEvents("one"));
  }
  await cluster.addUpstream("h", (received, res) => {
    if (received.path !== "/once/x") {
      res.writeHead(200, { "content-type": "text/event-stream" });
      if (!received.headers["last-event-id"]) res.write("id: 1\ndata: one\n\n");
    }
    held.push(res);
  }, { service: "h", slots: 100 });
  paths = [new PathFault(), new PathFault(), new PathFault()];
  paths[ASKING]?.cut("refuse_new");
  paths[OTHER_ASKING]?.cut("refuse_new");
  for (const { dial } of paths) {
    await cluster.addFront({ dial, graceMs: GRACE_MS });
  }
  await cluster.waitUntilReady("/warm/x", turnHeaders());
  await callUntilCutsAreFound();
});

afterEach(() => cluster.close());

function onWarning(_text: string, fields?: Record<string, unknown>): void {
  const event = fields?.event;
  if (event === "path_cut" || event === "path_restored") pathEvents[event] += 1;
}

function turnHeaders(): Record<string, string> {
  nextId += 1;
  return {
    "x-program": `p${nextId}`,
    "x-budget": "1000",
    "x-prompt-tokens": "10",
    "x-max-output": "5",
  };
}

/** Calls a front that reaches upstreams only through the relay. */
function call(
  path: string,
  { front = ASKING, timeLeftMs = TIMEOUT_MS } = {},
): Promise<CallResult> {
  const headers = {
    ...turnHeaders(),
    "x-id": `c${nextId}`,
    "x-time-left": String(timeLeftMs),
  };
  return cluster.call(path, { front, headers, body: "do" });
}

/** A front looks for a cut when it cannot connect to several upstreams. */
async function callUntilCutsAreFound(): Promise<void> {
  const deadline = performance.now() + WAIT_MS;
  while (pathEvents.path_cut < 2) {
    if (performance.now() > deadline) throw new Error("no cut was found");
    await Promise.all(
      [ASKING, OTHER_ASKING].map((front) => call("/warm/x", { front })),
    );
  }
}

/** Starts one call of each kind and waits until the upstream runs them. */
async function startCalls(front = ASKING): Promise<Promise<CallResult>[]> {
  const before = held.length;
  const calls = PATHS.map((path) => call(path, { front }));
  await waitFor(() => held.length === before + PATHS.length);
  return calls;
}

/** Lets the upstream complete the responses that it holds. */
function completeHeld(): void {
  for (const res of held.splice(0)) {
    if (res.headersSent) res.end("id: 2\ndata: two\n\n");
    else res.end("done");
  }
}

/** Stops a front, whose process then ends. */
function stop(front: number): Promise<void> {
  const stopping = cluster.fronts[front];
  const stopped = stopping?.stop() ?? Promise.resolve();
  return stopped.then(() => stopping?.close());
}

async function waitFor(isDone: () => boolean): Promise<void> {
  const deadline = performance.now() + WAIT_MS;
  while (!isDone()) {
    if (performance.now() > deadline) throw new Error("waited in vain");
    await delay(POLL_MS);
  }
}

const isWhole = ({ status, isComplete }: CallResult) =>
  status === 200 && isComplete;

const describeResult = ({ status, isComplete, body }: CallResult) =>
  `${status} ${isComplete ? "complete" : "cut"} ${JSON.stringify(body)}`;

/** The calls that were not answered as a whole. */
async function findLost(calls: Promise<CallResult>[]): Promise<string[]> {
  const results = await Promise.all(calls);
  return results.filter((it) => !isWhole(it)).map(describeResult);
}

describe("front that forwards requests for siblings and stops", () => {
  // Guards against LOST: it waited for the calls of its own callers alone.
  it("waits for what it forwards", async () => {
    const calls = [...await startCalls(), ...await startCalls(OTHER_ASKING)];
    const stopped = stop(RELAY);
    await delay(LATE_IN_GRACE_MS);
    completeHeld();
    expect(await findLost(calls)).toEqual([]);
    await stopped;
  });

  // Guards against LOST: the asking front waited for a relay that had ended.
  it("waits also if the front that asked stops as well", async () => {
    const calls = await startCalls();
    const stopped = [stop(ASKING), stop(RELAY)];
    await delay(LATE_IN_GRACE_MS);
    completeHeld();
    expect(await findLost(calls)).toEqual([]);
    await Promise.all(stopped);
  });

  // Guards against LOST: fronts went on choosing a relay that stops.
  it("is avoided while another front reaches the upstreams", async () => {
    const stopped = stop(RELAY);
    paths[OTHER_ASKING]?.heal();
    await waitFor(() => pathEvents.path_restored === 1);
    await delay(GOSSIP_MS);
    const calls = await startCalls();
    await stopped;
    completeHeld();
    expect(await findLost(calls)).toEqual([]);
  });

  // Guards against LOST: a stream that ended with the front that forwarded it.
  it("leaves a stream that may be resumed to another front", async () => {
    const streams = [call("/resumable/x"), call("/resumable/x")];
    await waitFor(() => held.length === streams.length);
    paths[OTHER_ASKING]?.heal();
    await waitFor(() => pathEvents.path_restored === 1);
    await delay(GOSSIP_MS);
    held.length = 0;
    cluster.fronts[RELAY]?.close();
    await waitFor(() => held.length === streams.length);
    completeHeld();
    expect(await findLost(streams)).toEqual([]);
  });

  // Guards against LOST: it accepted what it could not finish in its grace.
  it("runs nothing that it could not finish, and takes what it can", async () => {
    const stopped = stop(RELAY);
    const refused = await call("/once/x");
    expect(refused.status).toEqual(503);
    expect(held.length).toEqual(0);
    const short = call("/once/x", { timeLeftMs: SHORT_CALL_MS });
    await waitFor(() => held.length === 1);
    completeHeld();
    expect(await findLost([short])).toEqual([]);
    await stopped;
  });
});
