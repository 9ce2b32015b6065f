import { expect } from "earl";
import type { ServerResponse } from "node:http";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { PathFault } from "./path_fault.ts";
import {
  type CallResult,
  type ReceivedRequest,
  TestCluster,
} from "./test_cluster.ts";

/** For this long the upstreams stand still. */
const FREEZE_MS = 1_250;
const FRONTS = 2;
/** Duration of a plain call, and of the pause between two events. */
const WORK_MS = 120;
const EVENTS = 4;
const WAIT_MS = 8_000;
const POLL_MS = 10;
/** Time between two calls that begin while the upstreams stand still. */
const CALL_INTERVAL_MS = 50;
const PATHS = ["/plain/x", "/once/x", "/kept/x", "/resumable/x"];

let cluster: TestCluster;
let paths: PathFault[];
let nextId: number;

beforeEach(() => {
  cluster = new TestCluster();
  nextId = 0;
});

afterEach(() => cluster.close());

/**
 * Starts fronts before some upstreams, which the last `cutOff` fronts reach only
 * through the others.
 */
async function start(
  { upstreams, cutOff = 0 }: { upstreams: number; cutOff?: number },
): Promise<void> {
  configure(10_000);
  await cluster.addTurnStores(3);
  for (let i = 0; i < upstreams; i++) {
    await cluster.addUpstream(`u${i}`, serve, { slots: 100 });
  }
  paths = Array.from({ length: FRONTS }, () => new PathFault());
  for (const it of paths.slice(FRONTS - cutOff)) it.cut("refuse_new");
  for (const { dial } of paths) await cluster.addFront({ dial });
  await cluster.waitUntilReady("/resumable/warm", turnHeaders());
  await cluster.waitUntilReady("/plain/warm");
  await Promise.all(callAll());
}

function configure(timeoutMs: number): void {
  const stream = { kind: "streaming", keepsTurns: true, timeoutMs } as const;
  cluster.configure([
    { prefix: "/plain/", timeoutMs },
    { prefix: "/once/", kind: "non_idempotent", maxRuns: 1, timeoutMs },
    { ...stream, prefix: "/kept/", maxRuns: 1 },
    { ...stream, prefix: "/resumable/", isResumable: true },
  ]);
}

/** Answers after some work, or with one event after the other. */
function serve(received: ReceivedRequest, res: ServerResponse): void {
  const isPlain = /^\/(plain|once)\//.test(received.path);
  if (isPlain) {
    setTimeout(() => res.end("done"), WORK_MS);
    return;
  }
  let sent = Number(received.headers["last-event-id"] ?? 0);
  res.writeHead(200, { "content-type": "text/event-stream" });
  const interval = setInterval(() => {
    sent += 1;
    res.write(`id: ${sent}\ndata: ${sent}\n\n`);
    if (sent < EVENTS) return;
    clearInterval(interval);
    res.end();
  }, WORK_MS);
  res.on("close", () => clearInterval(interval));
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

/** Makes one call of each kind to each front. */
function callAll(): Promise<CallResult>[] {
  return paths.flatMap((_, front) =>
    PATHS.map((path) => {
      const headers = { ...turnHeaders(), "x-id": `c${nextId}` };
      return cluster.call(path, { front, headers });
    })
  );
}

async function waitFor(isDone: () => boolean): Promise<void> {
  const deadline = performance.now() + WAIT_MS;
  while (!isDone()) {
    if (performance.now() > deadline) throw new Error("waited in vain");
    await delay(POLL_MS);
  }
}

/** Begins calls, some of whose streams have brought an event. */
async function beginCalls(): Promise<Promise<CallResult>[]> {
  cluster.received.length = 0;
  const begun = callAll();
  await waitFor(() => cluster.received.length === begun.length);
  await delay(1.5 * WORK_MS);
  begun.push(...callAll());
  await waitFor(() => cluster.received.length === begun.length);
  return begun;
}

/** Calls all the time while the upstreams stand still. */
async function callWhileFrozen(): Promise<Promise<CallResult>[]> {
  const calls: Promise<CallResult>[] = [];
  const endsAt = performance.now() + FREEZE_MS;
  while (performance.now() < endsAt) {
    calls.push(...callAll());
    await delay(CALL_INTERVAL_MS);
  }
  return calls;
}

const isWhole = ({ status, isComplete }: CallResult) =>
  status === 200 && isComplete;
const isRefused = ({ status }: CallResult) => status === 503;

const describeResult = ({ status, isComplete, body }: CallResult) =>
  `${status} ${isComplete ? "complete" : "cut"} ${JSON.stringify(body)}`;

/** Lets upstreams stand still; returns what became of the calls. */
async function freeze(frozen: PathFault[]) {
  const begun = await beginCalls();
  for (const path of frozen) path.cut("freeze");
  const changing = delay(FREEZE_MS / 2).then(() => configure(9_000));
  const later = await callWhileFrozen();
  for (const path of frozen) path.heal();
  await changing;
  const lost = (await Promise.all(begun)).filter((it) => !isWhole(it));
  const failed = (await Promise.all(later))
    .filter((it) => !isWhole(it) && !isRefused(it));
  return { lost: lost.map(describeResult), failed: failed.map(describeResult) };
}

for (const upstreams of [1, 3]) {
  describe(`${upstreams} upstreams that stand still for a second`, () => {
    // Guards against LOST: silence of the upstreams ended answers.
    it("cost no call that has begun, also if the configuration changes", async () => {
      await start({ upstreams });
      expect(await freeze(paths)).toEqual({ lost: [], failed: [] });
    });

    // Guards against LOST: as above, for what a sibling forwards.
    it("cost no call that a sibling forwards", async () => {
      await start({ upstreams, cutOff: 1 });
      const reaching = paths.slice(0, FRONTS - 1);
      expect(await freeze(reaching)).toEqual({ lost: [], failed: [] });
    });
  });
}
