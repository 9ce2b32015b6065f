import { createSystemTimer, createTimerScope } from "@toucantrestle/timer";
import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { sendRequest, TestCluster } from "./test_cluster.ts";
import { testProtocol } from "./test_protocol.ts";

const UPSTREAM_IDS = ["u1", "u2", "u3", "u4", "u5", "u6"];
/** A request that has crashed so many upstreams is not run any more. */
const CONVICTING_CRASHES = 3;
const LIMIT_MS = 10_000;
const POLL_MS = 20;
/** A crash counts for this long. */
const RETENTION_MS = 120_000;
/** Crashes of this age are no news any more. */
const CRASH_AGE_MS = 60_000;

const cluster = new TestCluster();
const clock = createShiftableClock();
let nextId = 0;

/** A clock of the system that can be set forward. */
function createShiftableClock() {
  const system = createSystemTimer();
  let shiftMs = 0;
  const timer = createTimerScope({
    ...system,
    monotonicNow: () => system.monotonicNow() + shiftMs,
  });
  return {
    timer,
    advance(ms: number) {
      shiftMs += ms;
    },
  };
}

before(async () => {
  cluster.configure([
    { prefix: "/plain/" },
    { prefix: "/crash/", kind: "non_idempotent", maxRuns: 1 },
  ]);
  await cluster.addTurnStores(3);
  for (const id of UPSTREAM_IDS) {
    await cluster.addUpstream(id, (received, res) => {
      if (received.path.startsWith("/crash/")) cluster.crashUpstream(id);
      else res.end("fine");
    });
  }
  await addFront();
  await cluster.waitUntilReady("/plain/x");
});

after(async () => {
  clock.timer.end();
  await cluster.close();
});

async function addFront(): Promise<void> {
  await cluster.addFront({ timer: clock.timer });
}

async function crash(front: number): Promise<number> {
  const headers = { "x-id": `c${nextId++}` };
  return (await cluster.call("/crash/x", { front, headers })).status;
}

/** Waits until a front lists another one, and itself, as ready. */
async function waitUntilConnected(front: number, other: number) {
  const address = cluster.directoryAddresses[front] ?? "";
  const addresses = [front, other].map((it) => cluster.callerAddresses[it]);
  const deadline = performance.now() + LIMIT_MS;
  while (performance.now() < deadline) {
    const { body } = await sendRequest(address, testProtocol.directoryPath);
    if (addresses.every((it) => body.includes(`"${it}"`))) return;
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  throw new Error(`front ${front} is not connected after ${LIMIT_MS} ms`);
}

function crashCount(): number {
  return cluster.received.filter((it) => it.path === "/crash/x").length;
}

describe("a request that has crashed three upstreams a minute ago", () => {
  // Guards against fronts that were started again and count from nothing.
  it("is refused by each front that has started since, for the same time", async () => {
    for (let i = 0; i < CONVICTING_CRASHES; i++) await crash(0);
    expect(await crash(0)).toEqual(503);
    clock.advance(CRASH_AGE_MS);
    await addFront();
    await waitUntilConnected(1, 0);
    expect(await crash(1)).toEqual(503);
    cluster.fronts[0]?.close();
    await addFront();
    await waitUntilConnected(2, 1);
    expect(await crash(2)).toEqual(503);
    expect(crashCount()).toEqual(CONVICTING_CRASHES);
    clock.advance(RETENTION_MS - CRASH_AGE_MS);
    expect(await crash(2)).toEqual(502);
    expect(crashCount()).toEqual(CONVICTING_CRASHES + 1);
  });
});
