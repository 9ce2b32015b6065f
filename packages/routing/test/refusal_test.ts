import { expect } from "earl";
import { describe, it } from "node:test";
import { type RefusalReason, retryAfterMs } from "../src/mod.ts";

const REASONS: RefusalReason[] = [
  "no_config",
  "no_upstream",
  "upstreams_full",
  "turns_unknown",
  "convicted",
  "stopping",
];

describe("the retry delay of a refused caller", () => {
  it("spreads the retries of callers that are refused at the same time", () => {
    for (const reason of REASONS) {
      const times = Array.from(
        { length: 100 },
        (_, i) => retryAfterMs(reason, i / 100),
      );
      const [first = 0, last = 0] = [times[0], times.at(-1)];
      expect(last).toBeGreaterThan(1.9 * first);
      expect(new Set(times).size).toBeGreaterThan(40);
    }
  });

  it("is short if another front or upstream can serve the request", () => {
    expect(retryAfterMs("stopping", 1)).toBeLessThan(150);
    expect(retryAfterMs("upstreams_full", 1)).toBeLessThan(300);
  });

  it("is long for a request that crashes upstreams", () => {
    expect(retryAfterMs("convicted", 0)).toBeGreaterThan(4_000);
  });
});
