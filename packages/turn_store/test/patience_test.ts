import { expect } from "earl";
import { describe, it } from "node:test";
import { mayWait, type WaitInput } from "../src/patience.ts";

describe("waiting for replicas", () => {
  it("lasts while they restart after a loss of power", () => {
    const input = createInput({ isReachable: false, awayForMs: 600 });
    expect(mayWait({ ...input, waitedMs: 0 })).toEqual(true);
    expect(mayWait({ ...input, waitedMs: 350 })).toEqual(true);
    expect(mayWait({ ...input, waitedMs: 500 })).toEqual(false);
  });

  it("is of no use when they have been away for long", () => {
    const input = createInput({ isReachable: false, awayForMs: 6_000 });
    expect(mayWait(input)).toEqual(false);
  });

  it("ends after a second where they answer but cannot tell", () => {
    expect(mayWait(createInput({ waitedMs: 900 }))).toEqual(true);
    expect(mayWait(createInput({ waitedMs: 1_100 }))).toEqual(false);
  });

  it("goes on to the caller's deadline for an answer that is ready", () => {
    const input = createInput({ waitedMs: 3_000, isReady: true });
    expect(mayWait(input)).toEqual(true);
    expect(mayWait({ ...input, timeLeftMs: 20 })).toEqual(false);
  });
});

function createInput(change: Partial<WaitInput> = {}): WaitInput {
  return {
    waitedMs: 0,
    timeLeftMs: 4_000,
    isReachable: true,
    awayForMs: 0,
    isReady: false,
    ...change,
  };
}
