import { expect } from "earl";
import { describe, it } from "node:test";
import { ablation } from "../src/commands/ablation.ts";
import { policy } from "../src/commands/policy.ts";

describe("bench with bad input", () => {
  it("names an unknown policy", async () => {
    await expect(runPolicy({ policies: "toucantrestle,newest" }))
      .toBeRejectedWith('unknown policy "newest"');
  });

  it("names an unknown workload", async () => {
    await expect(runPolicy({ workload: "night" }))
      .toBeRejectedWith('unknown workload "night"');
  });

  it("names a load that is not a positive number", async () => {
    await expect(runPolicy({ load: "0.7,high" }))
      .toBeRejectedWith('load "high" is not a positive number');
  });

  it("names an unknown mechanism before it copies anything", async () => {
    const flags = { days: "d", off: "none,luck", scratch: "/nonexistent" };
    await expect(ablation.handler({ ...flags, tool: "t", site: "s" }))
      .toBeRejectedWith('unknown mechanism "luck"');
  });
});

async function runPolicy(overrides: Record<string, string>): Promise<void> {
  const defaults = { workload: "interest", load: "0.7", policies: "fcfs" };
  await policy.handler({ ...defaults, seed: 1, ...overrides });
}
