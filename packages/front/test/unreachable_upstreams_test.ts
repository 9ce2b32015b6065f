import { expect } from "earl";
import type { ServerResponse } from "node:http";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { type CutKind, PathFault } from "./path_fault.ts";
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
/** Time between the starts of two calls. */
const CALL_INTERVAL_MS = 50;

let cluster: TestCluster;
let paths: PathFault[];
let nextId: number;

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
  ]);
  await cluster.addTurnStores(3);
  for (const id of ["p1", "p2"]) await cluster.addUpstream(id);
  for (const id of ["e1", "e2"]) {
    await cluster.addUpstream(id, serveStream, { service: "e" });
  }
  paths = [new PathFault(), new PathFault(), new PathFault()];
  for (const { dial } of paths) await cluster.addFront({ dial });
  await cluster.waitUntilReady("/plain/x");
  await cluster.waitUntilReady("/turn/x", turnHeaders());
});

afterEach(() => cluster.close());

/** Streams at once, or one event after the other for a slow path. */
function serveStream(received: ReceivedRequest, res: ServerResponse): void {
  if (!received.path.startsWith("/slow/")) {
    return respondWithEvents("one", "two")(received, res);
  }
  res.writeHead(200, { "content-type": "text/event-stream" });
  let sent = 0;
  const interval = setInterval(() => {
    sent += 1;
    res.write(`id: ${sent}\ndata: ${sent}\n\n`);
    if (sent < SLOW_EVENTS) return;
    clearInterval(interval);
    res.end();
  }, SLOW_EVENT_INTERVAL_MS);
  res.on("close", () => clearInterval(interval));
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

function servedCount(results: CallResult[]): number {
  return results.filter((it) => it.status === 200 && it.isComplete).length;
}

describe("front that reaches no upstream", () => {
  // Guards against RECOVER: callers of such a front were hardly served.
  for (const kind of CUTS) {
    it(`serves its callers through siblings 3 s after the cut (${kind})`, async () => {
      paths[0]?.cut(kind);
      const startedAt = performance.now();
      while (performance.now() - startedAt < STABLE_MS) {
        const headers = { ...turnHeaders(), "x-id": `w${nextId++}` };
        const path = nextId % 2 === 0 ? "/plain/x" : "/turn/x";
        cluster.call(path, { headers }).catch(() => {});
        await delay(CALL_INTERVAL_MS);
      }
      for (const path of ["/plain/x", "/once/x", "/turn/x", "/slow/x"]) {
        expect(servedCount(await callMany(path))).toEqual(CALLS);
      }
    });
  }
});
