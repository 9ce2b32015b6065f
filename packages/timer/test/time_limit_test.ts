import { expect } from "earl";
import { describe, it } from "node:test";
import { createManualTimer, startTimeLimit } from "../src/mod.ts";

describe("startTimeLimit", () => {
  it("aborts its signal after the delay, with the reason of a timeout", () => {
    const timer = createManualTimer();
    const { signal } = startTimeLimit(timer, 1_499.8);
    timer.advance(1_499);
    expect(signal.aborted).toEqual(false);
    timer.advance(1);
    expect((signal.reason as Error).name).toEqual("TimeoutError");
  });

  it("does not abort its signal once it is cancelled", () => {
    const timer = createManualTimer();
    const limit = startTimeLimit(timer, 100);
    limit.cancel();
    timer.advance(1_000);
    expect(limit.signal.aborted).toEqual(false);
  });

  it("takes any delay that is a number", () => {
    const timer = createManualTimer();
    for (const ms of [1e21, 2 ** 53, Infinity]) {
      expect(startTimeLimit(timer, ms).signal.aborted).toEqual(false);
    }
    const { signal } = startTimeLimit(timer, -5);
    timer.advance(0);
    expect(signal.aborted).toEqual(true);
  });
});
