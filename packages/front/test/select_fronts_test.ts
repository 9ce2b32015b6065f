import { expect } from "earl";
import { createHash } from "node:crypto";
import { describe, it } from "node:test";
import { type FrontCandidate, selectFronts } from "../src/select_fronts.ts";

function createFronts(
  count: number,
  capacity: number | undefined,
): FrontCandidate[] {
  return Array.from({ length: count }, (_, i) => ({
    address: `${capacity}-${i}:80`,
    capacity,
  }));
}

/** Returns reproducible numbers in [0, 1). */
function createDraw(seed: string): () => number {
  let count = 0;
  return () => {
    const hash = createHash("sha256").update(`${seed}/${count++}`).digest();
    return hash.readUInt32BE(0) / 2 ** 32;
  };
}

/** Returns the part of the callers that each front gets, by address. */
function shareByAddress(fronts: FrontCandidate[]): Map<string, number> {
  const shares = new Map<string, number>();
  const draw = createDraw("answers");
  const answers = 4_000;
  for (let i = 0; i < answers; i++) {
    const listed = selectFronts(fronts, draw);
    for (const address of listed) {
      const share = 1 / listed.length / answers;
      shares.set(address, (shares.get(address) ?? 0) + share);
    }
  }
  return shares;
}

describe("the fronts of a directory response", () => {
  it("are all fronts of a small fleet, whatever their capacity", () => {
    const fronts = [...createFronts(4, 1.35), ...createFronts(9, 0.3)];
    expect(selectFronts(fronts, () => 0.99).length).toEqual(13);
  });

  it("do not overload the small hosts among uneven ones", () => {
    const fronts = [...createFronts(8, 1.35), ...createFronts(46, 0.324)];
    const shares = shareByAddress(fronts);
    const perCore = fronts
      .filter((it) => shares.has(it.address))
      .map((it) => (shares.get(it.address) ?? 0) / (it.capacity ?? 1));
    const mean = perCore.reduce((sum, it) => sum + it, 0) / perCore.length;
    for (const load of perCore) {
      expect(load).toBeLessThan(1.25 * mean);
      expect(load).toBeGreaterThan(0.75 * mean);
    }
  });

  it("leave hosts without callers, but have over half of the capacity", () => {
    const fronts = [...createFronts(8, 1.35), ...createFronts(46, 0.324)];
    const listed = shareByAddress(fronts).size;
    expect(listed).toBeLessThan(30);
    expect(listed).toBeGreaterThan(13);
  });

  it("always include one, and are the same set on every host", () => {
    const fronts = [...createFronts(3, 2), ...createFronts(60, 0.25)];
    expect(selectFronts(fronts, () => 0.999).length).toBeGreaterThan(0);
    const reversed = [...fronts].reverse();
    expect(selectFronts(reversed, () => 0)).toEqual(
      selectFronts(fronts, () => 0),
    );
  });

  it("of an earlier build, which report no capacity, count as equal", () => {
    const fronts = createFronts(50, undefined);
    expect(selectFronts(fronts, () => 0.9).length).toEqual(30);
  });
});
