import { createNoopLoggers } from "@toucantrestle/log";
import { createManualTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { createServer } from "node:http";
import { describe, it } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { CallerConnections } from "../src/caller_connections.ts";
import { Shutdown } from "../src/shutdown.ts";

const STEP_MS = 10;
/** An upstream at work in the last sixth of the grace period may be cut. */
const LAST_SHARE = 1 / 6;

/** Runs a stop on a manual clock and returns how long it took, in ms. */
async function runStop(
  opts: { graceMs: number; work: number; deregisters: boolean },
): Promise<number> {
  const timer = createManualTimer();
  const { graceMs, work, deregisters } = opts;
  const shutdown = new Shutdown({
    graceMs,
    connections: new CallerConnections({ server: createServer(), timer }),
    work: [{ name: "work", count: () => work }],
    announce() {},
    stopListening() {},
    deregistration: deregisters ? Promise.resolve() : new Promise(() => {}),
    timer,
    log: createNoopLoggers()("front"),
  });
  let isOver = false;
  const stopped = shutdown.run().then(() => {
    isOver = true;
  });
  while (!isOver) {
    timer.advance(STEP_MS);
    await nextTurn();
  }
  await stopped;
  return timer.monotonicNow();
}

describe("time that the stop of a front takes", () => {
  for (const graceMs of [1_000, 2_000, 4_000, 8_000, 30_000]) {
    // Guards against a process that is killed with answers to send, and against
    // one that ends while its upstreams may not be cut.
    it(`ends in the last sixth of ${graceMs} ms if work is left`, async () => {
      const ms = await runStop({ graceMs, work: 1, deregisters: false });
      expect(ms).toBeLessThan(graceMs);
      expect(ms).toBeGreaterThan(graceMs * (1 - LAST_SHARE));
    });
  }

  // Guards against a host that serves later because its front has waited.
  it("ends soon after the time to accept connections if none is", async () => {
    const ms = await runStop({ graceMs: 30_000, work: 0, deregisters: true });
    expect(ms).toBeLessThan(3_000);
  });
});
