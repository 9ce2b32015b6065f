import { expect } from "earl";
import { describe, it } from "node:test";
import { callCost } from "../src/commands/call_cost.ts";

interface Report {
  failed: number;
  ratio: { cold: number; warm: number };
}

describe("bench call-cost", () => {
  // Guards against a benchmark that measures failed calls or none at all.
  it("serves all calls and reports both ratios", async () => {
    const report = await callCost.handler({ coldCalls: 100, warmCalls: 100 });
    const { failed, ratio } = report as Report;
    expect(failed).toEqual(0);
    expect([ratio.cold, ratio.warm].every((it) => it > 0 && it < Infinity))
      .toEqual(true);
  });
});
