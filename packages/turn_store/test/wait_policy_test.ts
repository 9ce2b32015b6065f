import { expect } from "earl";
import { describe, it } from "node:test";
import { shouldKeepWaiting, type WaitInput } from "../src/wait_policy.ts";

describe("waiting for replicas", () => {
  it("continues for a short time while they may be restarting", () => {
    const input = createInput({ isReachable: false, unreachableMs: 600 });
    expect(shouldKeepWaiting({ ...input, waitedMs: 0 })).toEqual(true);
    expect(shouldKeepWaiting({ ...input, waitedMs: 350 })).toEqual(true);
    expect(shouldKeepWaiting({ ...input, waitedMs: 500 })).toEqual(false);
  });

  it("stops at once if they have been unreachable for long", () => {
    const input = createInput({ isReachable: false, unreachableMs: 6_000 });
    expect(shouldKeepWaiting(input)).toEqual(false);
  });

  it("ends after 1 s if reachable replicas leave the outcome unknown", () => {
    expect(shouldKeepWaiting(createInput({ waitedMs: 900 }))).toEqual(true);
    expect(shouldKeepWaiting(createInput({ waitedMs: 1_100 }))).toEqual(false);
  });

  it("continues until the deadline if the response is ready", () => {
    const input = createInput({ waitedMs: 3_000, isResponseReady: true });
    expect(shouldKeepWaiting(input)).toEqual(true);
    expect(shouldKeepWaiting({ ...input, timeLeftMs: 20 })).toEqual(false);
  });
});

function createInput(overrides: Partial<WaitInput> = {}): WaitInput {
  return {
    waitedMs: 0,
    timeLeftMs: 4_000,
    isReachable: true,
    unreachableMs: 0,
    isResponseReady: false,
    ...overrides,
  };
}
