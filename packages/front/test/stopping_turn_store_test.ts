import { expect } from "earl";
import { after, afterEach, before, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  type CallResult,
  respondWithEvents,
  TestCluster,
} from "./test_cluster.ts";

const STORES = ["store-0", "store-1", "store-2"];
const CALL_INTERVAL_MS = 10;
/** Time that a store is down. */
const DOWN_MS = 700;
/** Time in calm between two restarts. */
const CALM_MS = 1_500;

const cluster = new TestCluster();
const calls: Promise<CallResult>[] = [];
let isLoading = true;
let load: Promise<void>;

before(async () => {
  cluster.configure([{
    prefix: "/turn/",
    kind: "streaming",
    keepsTurns: true,
    isResumable: true,
    timeoutMs: 10_000,
    maxRuns: 1,
  }]);
  await cluster.addTurnStores(STORES.length);
  for (const id of ["u1", "u2"]) {
    await cluster.addUpstream(id, respondWithEvents("one", "two"), {
      slots: 100,
    });
  }
  for (let i = 0; i < 2; i++) await cluster.addFront();
  await cluster.waitUntilReady("/turn/x", turnHeaders("warm"));
  load = callAllTheTime();
});

after(() => cluster.close());

afterEach((t) => cluster.printLogIfFailed(t));

function turnHeaders(program: string): Record<string, string> {
  return {
    "x-program": program,
    "x-budget": "1000",
    "x-prompt-tokens": "10",
    "x-max-output": "5",
  };
}

/** Calls both fronts, each call a program of its own. */
async function callAllTheTime(): Promise<void> {
  while (isLoading) {
    const id = `c${calls.length}`;
    const headers = { ...turnHeaders(id), "x-id": id };
    const front = calls.length % 2;
    calls.push(cluster.call("/turn/x", { front, headers, body: "do" }));
    await delay(CALL_INTERVAL_MS);
  }
}

describe("turn stores that are restarted one after the other", () => {
  // Guards against LOST: an answer that ends with the store that should keep it.
  it("cost no call", async () => {
    for (const host of STORES) {
      await cluster.restartTurnStore(host, DOWN_MS);
      await delay(CALM_MS);
    }
    isLoading = false;
    await load;
    const results = await Promise.all(calls);
    const lost = results.filter((it) => it.status !== 200 || !it.isComplete);
    expect(lost).toEqual([]);
  });
});
