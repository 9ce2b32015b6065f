import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { RateLimiter } from "../src/mod.ts";

const NEW = { kind: "new", weight: 1 } as const;
const rates = fc.double({ min: 0.1, max: 200, noNaN: true });

describe("RateLimiter", () => {
  it("starts without tokens and says when there will be one", () => {
    const limiter = new RateLimiter(0);
    const take = (now: number) => limiter.take(NEW, { ratePerS: 0.5, now });
    expect(take(0)).toEqual(2_000);
    expect(take(1_500)).toEqual(500);
    expect(take(2_000)).toEqual(0);
    expect(take(2_000)).toEqual(2_000);
  });

  it("grants a continued request in advance, and takes that back", () => {
    const limiter = new RateLimiter(0);
    const take = (kind: "new" | "continued", now: number) =>
      limiter.take({ kind, weight: 1 }, { ratePerS: 1, now });
    expect(take("continued", 1_000)).toEqual(0);
    expect(take("continued", 1_000)).toEqual(0);
    expect(take("continued", 1_000)).toEqual(0);
    expect(take("continued", 1_000)).toEqual(1_000);
    expect(take("new", 2_000)).toEqual(2_000);
  });

  it("leaves the tokens to the requests that gain most, if these use them", () => {
    const limiter = new RateLimiter(0);
    const granted = { large: 0, small: 0 };
    for (let now = 0; now < 20_000; now += 20) {
      const size = now % 100 === 0 ? "large" : "small";
      const weight = size === "large" ? 1 : 0.2;
      const request = { kind: "new", weight } as const;
      if (limiter.take(request, { ratePerS: 10, now }) === 0) {
        granted[size] += 1;
      }
    }
    expect(granted.large).toBeGreaterThanOrEqual(190);
  });

  it("grants small requests too while large ones leave tokens", () => {
    const limiter = new RateLimiter(0);
    const request = { kind: "new", weight: 0 } as const;
    let granted = 0;
    for (let now = 0; now < 20_000; now += 20) {
      if (limiter.take(request, { ratePerS: 10, now }) === 0) granted += 1;
    }
    expect(granted).toBeGreaterThanOrEqual(180);
  });

  it("never grants more in a window than its rate and its burst allow", () => {
    fc.assert(fc.property(
      rates,
      fc.array(fc.nat(300), { minLength: 1, maxLength: 400 }),
      (ratePerS, gaps) => {
        const granted = grantTimes(ratePerS, gaps);
        for (const from of granted) {
          const count = granted.filter((it) =>
            it >= from && it < from + 4_000
          ).length;
          expect(count).toBeLessThanOrEqual(1.5 * ratePerS * 4 + 5);
        }
      },
    ));
  });

  it("grants all that its rate allows while requests never stop", () => {
    fc.assert(
      fc.property(rates, (ratePerS) => {
        const granted = grantTimes(ratePerS, Array(20_000).fill(1));
        expect(granted.length).toBeGreaterThanOrEqual(
          Math.floor(ratePerS * 20 * 0.95),
        );
      }),
      { numRuns: 20 },
    );
  });
});

/** Returns the times at which requests with these gaps, in ms, are granted. */
function grantTimes(ratePerS: number, gaps: number[]): number[] {
  const limiter = new RateLimiter(0);
  const granted: number[] = [];
  let now = 0;
  for (const gap of gaps) {
    now += gap;
    if (limiter.take(NEW, { ratePerS, now }) === 0) granted.push(now);
  }
  return granted;
}
