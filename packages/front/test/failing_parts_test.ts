import { createNoopLoggers } from "@toucantrestle/log";
import { createNoopMetrics } from "@toucantrestle/metrics";
import { createManualTimer, type ManualTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { describe, it } from "node:test";
import { ConfigWatcher } from "../src/config_watcher.ts";
import { Detour } from "../src/detour.ts";
import { DirectPath } from "../src/direct_path.ts";
import { QuotaClient } from "../src/quota_client.ts";
import { stopWhenSlow } from "../src/slow_attempt.ts";
import { UpstreamContact } from "../src/upstream_contact.ts";
import { testProtocol } from "./test_protocol.ts";

const STEP_MS = 50;
const log = createNoopLoggers()("test");

function fail(): never {
  throw new Error("odd");
}

/** Advances the clock in steps, between which promises are settled. */
async function pass(timer: ManualTimer, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += STEP_MS) {
    timer.advance(STEP_MS);
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** Returns a function that fails the first time, and then returns the value. */
function failOnce<T>(value: T): () => Promise<T> {
  let count = 0;
  return () => {
    count += 1;
    return count === 1
      ? Promise.reject(new Error("odd"))
      : Promise.resolve(value);
  };
}

// Guards against a part that ends the process, or stops for good, by an error
// of another part (FAULT).
describe("a part of a front goes on after an error", () => {
  it("of a listener to the configuration", () => {
    const watcher = new ConfigWatcher({ protocol: testProtocol, log });
    const versions: number[] = [];
    watcher.onConfig(fail);
    watcher.onConfig(({ version }) => versions.push(version));
    for (const version of [1, 2]) {
      const limits = {};
      const content = { version, routes: [], services: [], limits };
      watcher.apply(JSON.stringify(content), "store");
    }
    expect(versions).toEqual([1, 2]);
  });

  it("of a listener to a cut, and of a probe", async () => {
    const timer = createManualTimer();
    const path = new DirectPath({
      timer,
      contact: new UpstreamContact({ timer, metrics: createNoopMetrics() }),
      candidates: () => [{ id: "u-1", address: "a1" }],
      probe: failOnce(false),
      random: () => 0,
      log,
    });
    let cutCount = 0;
    path.onCut(fail);
    path.onCut(() => cutCount += 1);
    path.start();
    path.track();
    await pass(timer, 3_000);
    expect([path.isCut, cutCount]).toEqual([true, 1]);
  });

  it("of a sibling that is asked for a detour, and of a listener", async () => {
    const timer = createManualTimer();
    let startAsking: () => void = () => {};
    const detour = new Detour({
      directPath: {
        onCut(fn) {
          startAsking = () => fn({ isSilent: true });
          return () => {};
        },
        isSilent: true,
      },
      confirm: failOnce(true),
      timer,
      log,
    });
    let foundCount = 0;
    detour.onFound(fail);
    detour.onFound(() => foundCount += 1);
    startAsking();
    await pass(timer, 1_000);
    expect(foundCount > 0).toEqual(true);
  });

  it("of a look for another way for a slow attempt", async () => {
    const timer = createManualTimer();
    const reasons: string[] = [];
    stopWhenSlow({
      stop: (reason) => reasons.push(reason),
      hasDeliveredHead: false,
    }, { slowMs: 300, hasOtherWay: failOnce(true), timer, log });
    await pass(timer, 2_000);
    expect(reasons).toEqual(["slow"]);
  });

  it("of a query for tokens", async () => {
    const timer = createManualTimer();
    let isFailing = true;
    const client = new QuotaClient({
      self: "front-1",
      processId: "front-1/1",
      bounds: { windowMs: 5_000, overage: 0.1, slack: 20 },
      isFirstStart: true,
      candidates: () => isFailing ? fail() : ["front-1"],
      share: { connected: 1, own: 1 },
      links: {
        queryQuota: () => Promise.reject(new Error("odd")),
        dialAhead() {},
      },
      random: () => 0,
      timer,
      metrics: createNoopMetrics(),
      log,
    });
    const quota = { ratePerS: 100, burst: 100 };
    const decision = client.admit({ name: "o", quota }, "new");
    await pass(timer, 500);
    isFailing = false;
    client.setQuotas(new Map([["o", quota]]));
    await pass(timer, 10_000);
    await decision;
    const later = client.admit({ name: "o", quota }, "new");
    await pass(timer, 3_000);
    expect((await later).kind).toEqual("admitted");
  });
});
