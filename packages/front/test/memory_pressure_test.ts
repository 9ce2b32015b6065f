import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { decidePressure, type HeldBytes } from "../src/memory_pressure.ts";

const BUDGET = 1_000;

function createHeld(
  holder: string,
  opts: Partial<HeldBytes<string>>,
): HeldBytes<string> {
  return {
    holder,
    purpose: "streams",
    bytes: 0,
    waitingMs: 1,
    isIrreplaceable: false,
    ...opts,
  };
}

function decide(...held: HeldBytes<string>[]) {
  return decidePressure(held, { budgetBytes: BUDGET, refusingMs: 0 });
}

describe("memory pressure of a front", () => {
  it("refuses first, then cuts", () => {
    const measures = [400, 600, 800, 950].map((bytes) => {
      const { isRefusing, cut } = decide(createHeld("a", { bytes }));
      return [isRefusing, cut.length];
    });
    expect(measures).toEqual([
      [false, 0],
      [false, 0],
      [true, 0],
      [true, 1],
    ]);
  });

  it("cuts the slowest readers, and no more than needed", () => {
    const { cut } = decide(
      createHeld("fast", { bytes: 400, waitingMs: 5 }),
      createHeld("slow", { bytes: 300, waitingMs: 900 }),
      createHeld("slower", { bytes: 300, waitingMs: 2_000 }),
    );
    expect(cut).toEqual(["slower"]);
  });

  // Guards against slow readers that keep all others from being served.
  it("cuts readers when it has refused requests for a second", () => {
    const held = [1, 2, 3, 4].map((waitingMs) =>
      createHeld(`r${waitingMs}`, { bytes: 200, waitingMs })
    );
    const cutAfter = (refusingMs: number) =>
      decidePressure(held, { budgetBytes: BUDGET, refusingMs }).cut;
    expect(cutAfter(900)).toEqual([]);
    expect(cutAfter(1_000)).toEqual(["r4"]);
  });

  // Guards against what is sent without end and refuses all others for good.
  it("cuts the heaviest that no reader waits for after a second", () => {
    const held = [
      createHeld("small", { bytes: 50, waitingMs: 0 }),
      createHeld("large", { bytes: 750, waitingMs: 0 }),
      createHeld("reader", { bytes: 50, waitingMs: 5 }),
    ];
    const cutAfter = (refusingMs: number) =>
      decidePressure(held, { budgetBytes: BUDGET, refusingMs }).cut;
    expect(cutAfter(900)).toEqual([]);
    expect(cutAfter(1_000)).toEqual(["reader", "large"]);
  });

  // Guards against cuts in a burst of ordinary load, which free next to nothing.
  it("cuts nobody for many that hold little or cannot be cut", () => {
    const open = Array.from(
      { length: 700 },
      (_, i) => createHeld(`open ${i}`, { bytes: 1, waitingMs: 0 }),
    );
    const held = [
      ...open,
      createHeld("attempt", { bytes: 3, waitingMs: 0 }),
      createHeld("body", { bytes: 90, waitingMs: 0, isFixed: true }),
    ];
    const { isRefusing, cut } = decidePressure(held, {
      budgetBytes: BUDGET,
      refusingMs: 5_000,
    });
    expect([isRefusing, cut]).toEqual([true, []]);
  });

  // Guards against losing the only response of a request that must not rerun.
  it("cuts no irreplaceable response while there is anything else", () => {
    const readers = fc.array(
      fc.record({
        bytes: fc.integer({ min: 0, max: 600 }),
        waitingMs: fc.integer({ min: 0, max: 9 }),
        isIrreplaceable: fc.boolean(),
      }),
    );
    fc.assert(fc.property(readers, (all) => {
      const held = all.map((it, i) => createHeld(String(i), it));
      const { cut, heldBytes } = decide(...held);
      const isCut = (it: HeldBytes<string>) => cut.includes(it.holder);
      const others = held.filter((it) =>
        !it.isIrreplaceable && it.waitingMs > 0 && it.bytes > 0
      );
      const losesResponse = held.some((it) => it.isIrreplaceable && isCut(it));
      expect(losesResponse && !others.every(isCut)).toEqual(false);
      const left = held.filter((it) => !isCut(it) && it.waitingMs > 0)
        .reduce((sum, it) => sum + it.bytes, 0);
      expect(heldBytes < 0.9 * BUDGET || left <= 0.8 * BUDGET).toEqual(true);
    }));
  });
});
