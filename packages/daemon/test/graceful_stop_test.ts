import { createNoopLoggers } from "@toucantrestle/log";
import { createManualTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { describe, it } from "node:test";
import { type StopComponents, stopGracefully } from "../src/graceful_stop.ts";

/** Longer than a stop may take. */
const LONG_MS = 70_000;
const STEP_MS = 100;

describe("graceful stop of a daemon", () => {
  // Guards against LOST: requests of siblings ended with the process.
  it("closes the links after all requests are answered", async () => {
    const stop = createStop();
    await stop.pass(LONG_MS);
    expect(stop.steps).toEqual([
      "leaving",
      "hand over",
      "drain callers",
      "flush",
      "drain siblings",
      "revoke lease",
      "close links",
      "stopped",
    ]);
  });

  // Guards against a stop that lasts as long as a caller keeps it waiting.
  it("ends in time although a caller never reads its response", async () => {
    const stop = createStop({ drain: () => new Promise(() => {}) });
    await stop.pass(LONG_MS);
    expect(stop.steps.at(-1)).toEqual("stopped");
  });
});

/** Begins a stop of parts that record what is asked of them. */
function createStop(http?: StopComponents["http"]) {
  const timer = createManualTimer();
  const steps: string[] = [];
  const step = (name: string) => () => {
    steps.push(name);
    return Promise.resolve();
  };
  const components: StopComponents = {
    timer,
    log: createNoopLoggers()("daemon"),
    lease: { setState: step("leaving"), close: step("revoke lease") },
    ownership: { stop: step("hand over") },
    http: http ?? { drain: step("drain callers") },
    flusher: { flushAll: step("flush"), close() {} },
    view: { close() {} },
    net: { drain: step("drain siblings"), close: step("close links") },
  };
  stopGracefully(components).then(() => steps.push("stopped"));
  return {
    steps,
    /** Lets time pass in steps, and parts answer after each. */
    async pass(ms: number) {
      for (let passed = 0; passed < ms; passed += STEP_MS) {
        for (let i = 0; i < 20; i++) await Promise.resolve();
        timer.advance(STEP_MS);
      }
    },
  };
}
