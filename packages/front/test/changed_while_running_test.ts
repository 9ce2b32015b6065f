import type { Route, UpstreamEntry } from "@toucantrestle/routing";
import { expect } from "earl";
import type { ServerResponse } from "node:http";
import { after, before, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { PathFault } from "./path_fault.ts";
import {
  type CallResult,
  freeAddress,
  respondWithEvents,
  TestCluster,
} from "./test_cluster.ts";
import { testProtocol } from "./test_protocol.ts";

const WAIT_MS = 8_000;
const POLL_MS = 10;
/** By now all fronts have applied a change, and dropped what has gone. */
const SETTLED_MS = 3_500;
const TIMEOUT_MS = 20_000;
const SHORTER_TIMEOUT_MS = 500;

/** What happens to an upstream, or to its routes, while it works. */
const UPSTREAM_CHANGES: Record<
  string,
  (entry: UpstreamEntry) => Promise<unknown>
> = {
  deleted: () => Promise.resolve(undefined),
  draining: (entry) => Promise.resolve({ ...entry, isDraining: true }),
  restarted: (entry) => Promise.resolve({ ...entry, startedAt: 9 }),
  restarted_elsewhere: async (entry) => ({
    ...entry,
    startedAt: 9,
    address: await freeAddress(),
  }),
  moved: async (entry) => ({ ...entry, address: await freeAddress() }),
  other_service: (entry) => Promise.resolve({ ...entry, service: "s" }),
  unusable: () => Promise.resolve("no entry"),
};

const ROUTE_CHANGES: Record<string, (route: Partial<Route>) => object[]> = {
  dropped: () => [],
  sent_elsewhere: (route) => [
    { ...route, services: [{ service: "s", weight: 1 }] },
  ],
  shorter_timeout: (route) => [{ ...route, timeoutMs: SHORTER_TIMEOUT_MS }],
  other_kind: (route) => [{ ...route, kind: "idempotent", isResumable: false }],
  service_removed: (route) => [route],
};

const CASES = [...Object.keys(UPSTREAM_CHANGES), ...Object.keys(ROUTE_CHANGES)];
const KINDS: Record<string, Partial<Route>> = {
  once: { kind: "non_idempotent", maxRuns: 1 },
  again: { kind: "idempotent" },
  kept: { kind: "streaming", keepsTurns: true, maxRuns: 1 },
  resumable: { kind: "streaming", keepsTurns: true, isResumable: true },
};

const cluster = new TestCluster();
/** The first front reaches upstreams through the second one only. */
const path = new PathFault();
/** Responses that wait for their rest. */
const held: ServerResponse[] = [];
let nextId = 0;

before(async () => {
  configure(() => undefined);
  await cluster.addTurnStores(3);
  await cluster.addUpstream("warm", respondWithEvents("one"), { slots: 100 });
  for (const name of CASES) {
    await cluster.addUpstream(name, (received, res) => {
      if (/^.(kept|resumable)/.test(received.path)) {
        res.writeHead(200, { "content-type": "text/event-stream" });
        res.write("id: 1\ndata: one\n\n");
      }
      held.push(res);
    }, { service: name, slots: 100 });
  }
  path.cut("refuse_new");
  await cluster.addFront({ dial: path.dial });
  await cluster.addFront();
  await cluster.waitUntilReady("/warm/x", turnHeaders());
});

after(() => cluster.close());

/** Stores a configuration in which the routes of some cases have changed. */
function configure(
  change: (name: string) => ((route: Partial<Route>) => object[]) | undefined,
): void {
  const routes = CASES.flatMap((name) =>
    Object.entries(KINDS).flatMap(([kind, opts]) => {
      const route = {
        ...opts,
        prefix: `/${kind}/${name}`,
        timeoutMs: TIMEOUT_MS,
        services: [{ service: name, weight: 1 }],
      };
      return change(name)?.(route) ?? [route];
    })
  );
  const warm = { ...KINDS.resumable, prefix: "/warm/" };
  const isRemoved = (name: string) =>
    name === "service_removed" && change(name) !== undefined;
  cluster.configure([warm, ...routes], {
    serviceNames: ["s", ...CASES.filter((it) => !isRemoved(it))],
  });
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

async function startCalls(front: number): Promise<Map<string, CallPromise>> {
  const calls = new Map<string, CallPromise>();
  const before = held.length;
  for (const name of CASES) {
    for (const kind of Object.keys(KINDS)) {
      const headers = { ...turnHeaders(), "x-id": `c${nextId}` };
      const path = `/${kind}/${name}`;
      calls.set(path, cluster.call(path, { front, headers, body: "do" }));
    }
  }
  await waitFor(() => held.length === before + calls.size);
  return calls;
}

type CallPromise = Promise<CallResult>;

async function changeUpstreams(): Promise<void> {
  for (const [name, change] of Object.entries(UPSTREAM_CHANGES)) {
    const key = testProtocol.upstreamPrefix + name;
    const value = await change(cluster.entryOf(name));
    if (value === undefined) cluster.store.delete(key);
    else cluster.store.put(key, value);
  }
}

function completeHeld(): void {
  for (const res of held) {
    if (res.headersSent) res.end("id: 2\ndata: two\n\n");
    else res.end("done");
  }
}

async function waitFor(isDone: () => boolean): Promise<void> {
  const deadline = performance.now() + WAIT_MS;
  while (!isDone()) {
    if (performance.now() > deadline) throw new Error("waited in vain");
    await delay(POLL_MS);
  }
}

/** The paths of the calls that were not answered as a whole. */
async function findLost(calls: Map<string, CallPromise>): Promise<string[]> {
  const lost: string[] = [];
  for (const [path, call] of calls) {
    const { status, isComplete } = await call;
    if (status !== 200 || !isComplete) lost.push(`${path}: ${status}`);
  }
  return lost;
}

describe("calls that run while their upstream or their route changes", () => {
  // Guards against LOST: calls cut by what concerns only later ones.
  it("are answered, directly and through a sibling", async () => {
    const calls = [await startCalls(0), await startCalls(1)];
    const runs = held.length;
    await changeUpstreams();
    configure((name) => ROUTE_CHANGES[name]);
    await delay(SETTLED_MS);
    completeHeld();
    for (const it of calls) expect(await findLost(it)).toEqual([]);
    expect(held.length).toEqual(runs);
  });

  // What runs later shows that the changes had been applied.
  it("would have been refused afterwards", async () => {
    const headers = () => ({ ...turnHeaders(), "x-id": `l${nextId}` });
    const statuses: [string, number][] = [];
    for (const name of ["deleted", "draining", "unusable", "dropped"]) {
      const path = `/once/${name}`;
      const { status } = await cluster.call(path, { headers: headers() });
      statuses.push([name, status]);
    }
    expect(statuses).toEqual([
      ["deleted", 503],
      ["draining", 503],
      ["unusable", 503],
      ["dropped", 404],
    ]);
  });
});
