import { expect } from "earl";
import { describe, it } from "node:test";
import { createManualTimer } from "../src/mod.ts";
import { SharedTicks } from "../src/shared_ticks.ts";

/** Shared ticks on a manual clock that counts the wake-ups. */
function createTicks(startAt = 0) {
  const timer = createManualTimer(startAt);
  const wakeUps: number[] = [];
  const errors: unknown[] = [];
  const ticks = new SharedTicks({
    monotonicNow: () => timer.monotonicNow(),
    after: (delayMs, fn) =>
      timer.after(delayMs, () => {
        wakeUps.push(timer.monotonicNow());
        fn();
      }),
  }, (err) => errors.push(err));
  return { timer, ticks, wakeUps, errors };
}

describe("SharedTicks", () => {
  it("does not wake the process separately for callbacks begun apart", () => {
    const { timer, ticks, wakeUps } = createTicks();
    let calls = 0;
    const fn = () => calls += 1;
    for (const intervalMs of [200, 400, 600, 800, 1_000]) {
      timer.advance(13);
      ticks.add(intervalMs, { intervalMs, fn });
    }
    timer.advance(12_000);
    expect(wakeUps.length <= 61).toEqual(true);
    expect(calls >= 130).toEqual(true);
  });

  it("keeps the average rate of an interval that is off the grid", () => {
    const { timer, ticks } = createTicks(30);
    let calls = 0;
    ticks.add(250, { intervalMs: 250, fn: () => calls += 1 });
    timer.advance(10_000);
    expect(calls).toEqual(39);
  });

  it("does not make up for missed calls after a suspension", () => {
    let now = 0;
    let wake = () => {};
    const ticks = new SharedTicks({
      monotonicNow: () => now,
      after(_delayMs, fn) {
        wake = fn;
        return { cancel() {} };
      },
    });
    let calls = 0;
    ticks.add(200, { intervalMs: 200, fn: () => calls += 1 });
    now = 5_000;
    wake();
    now = 5_199;
    wake();
    expect(calls).toEqual(1);
  });

  it("does not call what another callback of the tick has cancelled", () => {
    const { timer, ticks } = createTicks();
    let calls = 0;
    ticks.add(200, { intervalMs: undefined, fn: () => second.cancel() });
    const second = ticks.add(200, { intervalMs: 200, fn: () => calls += 1 });
    timer.advance(1_000);
    expect(calls).toEqual(0);
  });
});

// Guards against one error that ends the periodic work of a process (FAULT).
describe("an error in a callback of SharedTicks", () => {
  it("does not keep the others from being called, now or later", () => {
    const { timer, ticks, errors } = createTicks();
    const calls: string[] = [];
    const add = (name: string, fn: () => void) =>
      ticks.add(200, {
        intervalMs: 200,
        fn() {
          calls.push(name);
          fn();
        },
      });
    add("first", () => {});
    add("failing", () => {
      throw new Error("odd");
    });
    add("last", () => {});
    timer.advance(400);
    const tick = ["first", "failing", "last"];
    expect(calls).toEqual([...tick, ...tick]);
    expect(errors.map(String)).toEqual(["Error: odd", "Error: odd"]);
  });
});
