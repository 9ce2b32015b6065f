import { RawCaller, rawRequest } from "@toucantrestle/stand_ins";
import { expect } from "earl";
import { after, before, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import type { Front } from "../src/mod.ts";
import { sendRequest, TestCluster } from "./test_cluster.ts";

const GRACE_MS = 8_000;
/** Time for which a front that stops accepts connections. */
const ACCEPTED_MS = 2_600;
/** Longer than a caller may lose a request that crosses the end, with room. */
const HELD_UP_MS = 1_500;
/** What requests ask for, so that they can end before the front does. */
const TIME_LEFT = { headers: { "x-time-left": "1500" } };

const cluster = new TestCluster();
let front: Front;
let address: string;

before(async () => {
  cluster.configure([{ prefix: "/once/", kind: "non_idempotent", maxRuns: 1 }]);
  await cluster.addUpstream("u", (_, res) => void res.end("done"));
});

beforeEach(async () => {
  front = await cluster.addFront();
  front.applySettings({ graceMs: GRACE_MS, seeds: [] });
  address = cluster.callerAddresses[cluster.fronts.indexOf(front)] ?? "";
  while (!await isServing()) await delay(20);
});

after(() => cluster.close());

async function isServing(): Promise<boolean> {
  const headers = { "x-id": `ready${performance.now()}` };
  return (await sendRequest(address, "/once/x", { headers })).status === 200;
}

/** Resolves just before the front takes no more connections. */
async function untilAlmostClosed(): Promise<void> {
  await delay(ACCEPTED_MS - HELD_UP_MS / 2);
  // Timers that are due after this run before anything is read.
  await new Promise(setImmediate);
}

/** Keeps the process from doing anything else, as a busy machine does. */
function holdUp(): void {
  const until = performance.now() + HELD_UP_MS;
  while (performance.now() < until);
}

describe("a stopping front that is held up", () => {
  // Guards against the end of a connection with a request that is not read yet.
  it("serves what has arrived on a connection that it ends", async () => {
    const caller = new RawCaller(address);
    caller.send(rawRequest("/once/first"));
    await caller.untilAnswered(1);
    const stopped = front.stop();
    await untilAlmostClosed();
    caller.send(rawRequest("/once/second", TIME_LEFT));
    holdUp();
    await Promise.race([caller.untilAnswered(2), stopped]);
    expect(caller.statuses).toEqual([200, 200]);
    await stopped;
  });

  // Guards against the reset of a connection that is not accepted yet.
  it("accepts a connection that was made in time", async () => {
    const stopped = front.stop();
    await untilAlmostClosed();
    const caller = new RawCaller(address);
    caller.send(rawRequest("/once/new", TIME_LEFT));
    holdUp();
    await Promise.race([caller.untilAnswered(1), stopped]);
    expect(caller.statuses).toEqual([200]);
    await stopped;
  });
});
