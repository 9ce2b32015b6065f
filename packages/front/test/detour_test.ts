import { createNoopLoggers } from "@toucantrestle/log";
import { createManualTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { describe, it } from "node:test";
import { Detour } from "../src/detour.ts";
import type { PathCut } from "../src/direct_path.ts";

describe("Detour", () => {
  // Guards against LOST: requests were given up with nobody to take them.
  it("is not found while no sibling reaches an upstream", async () => {
    const detour = createDetour();
    detour.cut({ isSilent: true });
    await detour.pass(3_000);
    expect(detour.foundCount()).toEqual(0);
  });

  it("is found when a sibling reaches an upstream, also later", async () => {
    const detour = createDetour();
    detour.cut({ isSilent: true });
    await detour.pass(1_000);
    detour.isConfirmed = true;
    await detour.pass(400);
    expect(detour.foundCount()).toBeGreaterThan(0);
  });

  it("is not looked for while open connections carry something", async () => {
    const detour = createDetour();
    detour.isConfirmed = true;
    detour.cut({ isSilent: false });
    await detour.pass(1_000);
    expect(detour.foundCount()).toEqual(0);
  });

  it("is not asked for while no request would take it", async () => {
    const detour = createDetour();
    detour.leave();
    detour.cut({ isSilent: true });
    await detour.pass(1_000);
    expect(detour.askCount()).toEqual(0);
  });

  it("is not found any more once upstreams are heard again", async () => {
    const detour = createDetour();
    detour.cut({ isSilent: true });
    await detour.pass(400);
    detour.restore();
    detour.isConfirmed = true;
    await detour.pass(1_000);
    expect(detour.foundCount()).toEqual(0);
  });
});

/** Creates a detour around a way that the test cuts. */
function createDetour() {
  const timer = createManualTimer();
  let isSilent = false;
  let foundCount = 0;
  let askCount = 0;
  let onCut: (cut: PathCut) => void = () => {};
  const fixture = {
    isConfirmed: false,
    foundCount: () => foundCount,
    askCount: () => askCount,
    cut(cut: PathCut) {
      isSilent = cut.isSilent;
      onCut(cut);
    },
    restore: () => isSilent = false,
    /** Lets time pass in steps, and questions are answered after each. */
    async pass(ms: number) {
      for (let passed = 0; passed < ms; passed += 100) {
        for (let i = 0; i < 5; i++) await Promise.resolve();
        timer.advance(100);
      }
    },
  };
  const detour = new Detour({
    directPath: {
      get isSilent() {
        return isSilent;
      },
      onCut(fn) {
        onCut = fn;
        return () => {};
      },
    },
    confirm: () => {
      askCount += 1;
      return Promise.resolve(fixture.isConfirmed);
    },
    timer,
    log: createNoopLoggers()("upstream"),
  });
  const leave = detour.onFound(() => foundCount += 1);
  return Object.assign(fixture, { leave });
}
