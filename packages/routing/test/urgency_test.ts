import { expect } from "earl";
import { describe, it } from "node:test";
import { type UrgencyInput, urgencyOf } from "../src/mod.ts";

describe("urgency", () => {
  it("goes by rank", () => {
    const first = urgencyOf(createInput({ rank: 0 }));
    const second = urgencyOf(createInput({ rank: 1 }));
    expect(first).toBeLessThan(second);
  });

  it("lets a program that is late go after any that can be in time", () => {
    const late = urgencyOf(createInput({ rank: 0, programLeftMs: 100 }));
    const inTime = urgencyOf(createInput({ rank: 1, programLeftMs: 4_000 }));
    expect(inTime).toBeLessThan(late);
  });

  it("keeps ranks apart among those that are late", () => {
    const first = urgencyOf(createInput({ rank: 0, programLeftMs: -1 }));
    const second = urgencyOf(createInput({ rank: 1, programLeftMs: -1 }));
    expect(first).toBeLessThan(second);
  });

  it("goes by rank alone where no time is given", () => {
    const open = urgencyOf(createInput({ programLeftMs: undefined }));
    expect(open).toEqual(urgencyOf(createInput({ programLeftMs: 4_000 })));
  });

  it("stays within what upstreams accept", () => {
    const input = createInput({ rank: 40, programLeftMs: -1 });
    expect(urgencyOf(input)).toEqual(9);
  });

  it("burst after a pause: who is late does not hold up who is not", () => {
    const served = serveBurst((it) => urgencyOf(it));
    const inTimeByRank = serveBurst((it) => it.rank);
    expect(served).toEqual(20);
    expect(inTimeByRank).toBeLessThan(served);
  });
});

function createInput(change: Partial<UrgencyInput> = {}): UrgencyInput {
  return { rank: 0, programLeftMs: 4_000, leastMs: 200, ...change };
}

/**
 * Twenty programs that are late and twenty that have 2.1 s left come to one
 * upstream that takes 100 ms for each; returns how many are in time.
 */
function serveBurst(order: (input: UrgencyInput) => number): number {
  const late = Array.from(
    { length: 20 },
    () => createInput({ programLeftMs: -50 }),
  );
  const fresh = Array.from(
    { length: 20 },
    () => createInput({ rank: 1, programLeftMs: 2_100 }),
  );
  const queue = [...late, ...fresh].sort((a, b) => order(a) - order(b));
  const inTime = queue.filter((it, i) => {
    const endsAt = (i + 1) * 100;
    return (it.programLeftMs ?? Infinity) >= endsAt;
  });
  return inTime.length;
}
