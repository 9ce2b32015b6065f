import { expect } from "earl";
import { describe, it } from "node:test";
import {
  createManualTimer,
  createSystemTimer,
  type Timer,
  toRuntimeDelayMs,
} from "../src/mod.ts";

/** Longest delay that the runtime's timers take, in ms. */
const RUNTIME_MAX_MS = 2 ** 31 - 1;
/** Time in which a callback that is due at once has run, in ms. */
const SOON_MS = 60;

const TIMERS: Record<string, () => Timer> = {
  "the system's timer": createSystemTimer,
  "the manual timer": createManualTimer,
};
const ONCE = ["after", "afterAbout"] as const;
const NAMES = [...ONCE, "every"] as const;

function pass(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

describe("a delay from a settings file or a message", () => {
  // Guards against a deadline far ahead that is over at once (FAULT).
  it("that is longer than the runtime's timers take does not end early", async () => {
    const timer = createSystemTimer();
    const fired: string[] = [];
    const subscriptions = [RUNTIME_MAX_MS + 1, 2 ** 53, 1e21, Infinity]
      .flatMap((ms) =>
        NAMES.map((name) => timer[name](ms, () => fired.push(`${name} ${ms}`)))
      );
    await pass(SOON_MS);
    for (const it of subscriptions) it.cancel();
    expect(fired).toEqual([]);
  });

  // Guards against values that an API of the runtime does not take (FAULT).
  it("is a whole number within bounds for the APIs of the runtime", () => {
    const whole = [0.5, 1_499.8, 5e-324, -1, 2 ** 53, 1e21, Infinity]
      .map(toRuntimeDelayMs);
    const max = RUNTIME_MAX_MS;
    expect(whole).toEqual([1, 1_500, 1, 0, max, max, max]);
    expect(() => toRuntimeDelayMs(NaN)).toThrow(/is no number/);
  });

  it("that is negative counts as none", async () => {
    const timer = createSystemTimer();
    for (const ms of [-1, -0, -1e21, -Infinity]) {
      await new Promise<void>((resolve) => {
        timer.after(ms, resolve);
      });
    }
  });

  for (const [kind, create] of Object.entries(TIMERS)) {
    // Guards against a timer that fires all the time, or never (FAULT).
    it(`that is no number is an error at the caller (${kind})`, () => {
      const timer = create();
      for (const name of NAMES) {
        expect(() => timer[name](NaN, () => {})).toThrow(/is no number/);
      }
    });

    // Guards against an interval that keeps the process busy for good (FAULT).
    it(`of an interval is at least a millisecond (${kind})`, () => {
      const timer = create();
      for (const ms of [0, -0, -5, 5e-324]) {
        let calls = 0;
        const subscription = timer.every(ms, () => calls += 1);
        if ("advance" in timer) {
          (timer.advance as (ms: number) => void)(10);
          expect(calls).toEqual(10);
        }
        subscription.cancel();
      }
    });
  }
});
