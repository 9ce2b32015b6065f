import type { LogFields, Logger } from "@toucantrestle/log";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { TestCluster } from "./test_cluster.ts";

const UPSTREAM_IDS = ["u1", "u2", "u3", "u4", "u5", "u6", "u7", "u8"];
const DOWN = UPSTREAM_IDS.slice(0, 5);
/** Longer than the backoff after two failures in a row. */
const BACKOFF_MS = 1_100;
const CALLS = 12;
const ROUNDS = 4;

let cluster: TestCluster;
/** Upstreams that failed a call, by the id of the call. */
let failures: Map<unknown, unknown[]>;
let statuses: number[];

beforeEach(async () => {
  failures = new Map();
  statuses = [];
  cluster = new TestCluster({ loggers: () => createCountingLogger() });
  cluster.configure([{ prefix: "/plain/" }]);
  await cluster.addTurnStores(3);
  for (const id of UPSTREAM_IDS) {
    await cluster.addUpstream(id, (_received, res) => res.end("fine"));
  }
  await cluster.addFront();
  await cluster.waitUntilReady("/plain/x");
});

afterEach(() => cluster.close());

function createCountingLogger(): Logger {
  const count = (_message: string, fields: LogFields = {}) => {
    if (fields.event !== "attempt_failed") return;
    const upstreams = failures.get(fields.req) ?? [];
    failures.set(fields.req, [...upstreams, fields.upstream]);
  };
  return { error: count, warn: count, info: count, debug: count };
}

async function call(id: string): Promise<number> {
  const headers = { "x-id": id };
  return (await cluster.call("/plain/x", { headers })).status;
}

/** Sends a call; returns its tries on upstreams that had failed before it. */
async function countRepeatedFailures(id: string): Promise<number> {
  const failedBefore = new Set([...failures.values()].flat());
  statuses.push(await call(id));
  const failed = failures.get(id) ?? [];
  return failed.filter((it) => failedBefore.has(it)).length;
}

describe("upstreams that have failed before", () => {
  // Guards against a call that spends all its tries on upstreams that are down,
  // while others serve.
  it("cost a call one try while others have not failed", async () => {
    for (const id of DOWN) cluster.crashUpstream(id);
    const counts: number[] = [];
    for (let round = 0; round < ROUNDS; round++) {
      for (let i = 0; i < CALLS; i++) {
        counts.push(await countRepeatedFailures(`${round}-${i}`));
      }
      await delay(BACKOFF_MS);
    }
    expect(statuses.filter((it) => it !== 200)).toEqual([]);
    expect(Math.max(...counts) <= 1).toEqual(true);
  });
});
