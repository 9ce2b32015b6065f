import { expect } from "earl";
import { describe, it } from "node:test";
import { type UrgencyInput, urgencyOf } from "../src/mod.ts";

describe("urgency", () => {
  it("is ordered by rank", () => {
    const first = urgencyOf(createInput({ rank: 0 }));
    const second = urgencyOf(createInput({ rank: 1 }));
    expect(first).toBeLessThan(second);
  });

  it("orders a late program after those that can still finish in time", () => {
    const late = urgencyOf(createInput({ rank: 0, programLeftMs: 100 }));
    const inTime = urgencyOf(createInput({ rank: 1, programLeftMs: 4_000 }));
    expect(inTime).toBeLessThan(late);
  });

  it("orders late programs by rank", () => {
    const first = urgencyOf(createInput({ rank: 0, programLeftMs: -1 }));
    const second = urgencyOf(createInput({ rank: 1, programLeftMs: -1 }));
    expect(first).toBeLessThan(second);
  });

  it("depends on rank alone if the program has no target finish time", () => {
    const open = urgencyOf(createInput({ programLeftMs: undefined }));
    expect(open).toEqual(urgencyOf(createInput({ programLeftMs: 4_000 })));
  });

  // Guards against a header that upstreams cannot read.
  it("is a whole number from 0 to 9 for any rank", () => {
    for (const rank of [-1e21, -40, -0, 0.5, 2.7, 2 ** 53, 1e308]) {
      const urgency = urgencyOf(createInput({ rank }));
      expect(/^\d$/.test(String(urgency))).toEqual(true);
    }
  });

  it("stays within the range that upstreams accept", () => {
    const input = createInput({ rank: 40, programLeftMs: -1 });
    expect(urgencyOf(input)).toEqual(9);
  });

  it("does not let late programs delay others in a burst after a pause", () => {
    const served = countInTime((it) => urgencyOf(it));
    const inTimeByRank = countInTime((it) => it.rank);
    expect(served).toEqual(20);
    expect(inTimeByRank).toBeLessThan(served);
  });
});

function createInput(overrides: Partial<UrgencyInput> = {}): UrgencyInput {
  return { rank: 0, programLeftMs: 4_000, minDurationMs: 200, ...overrides };
}

/**
 * Simulates an upstream that takes 100 ms per program. Twenty late programs and
 * twenty with 2.1 s left arrive at once; returns how many finish in time.
 */
function countInTime(urgencyFor: (input: UrgencyInput) => number): number {
  const late = Array.from(
    { length: 20 },
    () => createInput({ programLeftMs: -50 }),
  );
  const feasible = Array.from(
    { length: 20 },
    () => createInput({ rank: 1, programLeftMs: 2_100 }),
  );
  const queue = [...late, ...feasible].sort((a, b) =>
    urgencyFor(a) - urgencyFor(b)
  );
  const inTime = queue.filter((it, i) => {
    const endsAt = (i + 1) * 100;
    return (it.programLeftMs ?? Infinity) >= endsAt;
  });
  return inTime.length;
}
