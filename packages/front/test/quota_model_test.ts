import { groupOf, type Quota } from "@toucantrestle/quota";
import { expect } from "earl";
import { describe, it } from "node:test";
import { ModelPrograms, totalWithout } from "./model_programs.ts";
import { ModelQuotaFleet, skewedQuotas } from "./model_quota_fleet.ts";

const ORGANISATIONS = 82;
const MS_PER_S = 1_000;

/** Creates a fleet in calm use. */
async function createUsedFleet(fronts: number, keepsFront = true) {
  const quotas = skewedQuotas(ORGANISATIONS);
  const fleet = new ModelQuotaFleet({ fronts, quotas });
  const programs = new ModelPrograms(fleet, { quotas, keepsFront });
  await fleet.advance(3_000);
  const run = (ms: number) => fleet.advance(ms, () => programs.step());
  await run(8_000);
  programs.sent.clear();
  programs.denied.clear();
  fleet.queries = 0;
  return { quotas, fleet, programs, run };
}

function expectRule(fleet: ModelQuotaFleet, quotas: Map<string, Quota>) {
  for (const [name, quota] of quotas) {
    expect(fleet.excess(name, quota)).toBeLessThanOrEqual(0);
  }
}

describe("quotas over a model of all fronts", () => {
  for (const fronts of [69, 330]) {
    it(`${fronts} fronts in calm use: messages and refusals`, async (t) => {
      const { quotas, fleet, programs, run } = await createUsedFleet(fronts);
      await run(10_000);
      const perS = fleet.queries / fronts / 10;
      const sent = totalWithout(programs.sent);
      const denied = totalWithout(programs.denied);
      t.diagnostic(
        `${fronts} fronts: ${perS.toFixed(2)} queries/s and front, ` +
          `${denied} of ${sent} requests refused`,
      );
      expectRule(fleet, quotas);
      expect(denied).toEqual(0);
      // With their answers they may be twice as many; the page bounds 69.
      expect(perS).toBeLessThanOrEqual(3);
    });
  }

  it("a hot organisation costs the other ones nothing", async (t) => {
    const { quotas, fleet, programs, run } = await createUsedFleet(69);
    programs.factors.set("org-1", 8);
    await run(10_000);
    const denied = totalWithout(programs.denied, "org-1");
    const ran =
      fleet.runs("org-1").filter((it) => it >= fleet.now - 5_000).length;
    t.diagnostic(
      `refused ${programs.denied.get("org-1")} of ` +
        `${programs.sent.get("org-1")}, others ${denied}; ran ${ran} in 5 s; ` +
        `${(fleet.queries / 690).toFixed(2)} queries/s and front`,
    );
    expectRule(fleet, quotas);
    expect(denied).toEqual(0);
    const quota = quotas.get("org-1")?.ratePerS ?? 0;
    expect(ran).toBeGreaterThanOrEqual(0.8 * quota * 5);
    expect(fleet.queries / 690).toBeLessThanOrEqual(4);
  });

  it("the first burst of an idle organisation is served at once", async (t) => {
    const quotas = new Map([
      ["small", { ratePerS: 0.5, burst: 0.5 }],
      ["none", { ratePerS: 30, burst: 0 }],
    ]);
    const fleet = new ModelQuotaFleet({ fronts: 69, quotas });
    await fleet.advance(30_000);
    for (const [name, burst] of [["small", 8], ["none", 14]] as const) {
      const startedAt = fleet.now;
      const calls = Array.from(
        { length: burst },
        (_, i) =>
          fleet.request(`front-${i}`, name, i === 0 ? "new" : "continued"),
      );
      const results = Promise.all(calls);
      await fleet.advance(30);
      expect((await results).every((it) => it === "admitted")).toEqual(true);
      const lastMs = (fleet.runs(name).at(-1) ?? Infinity) - startedAt;
      t.diagnostic(`burst of ${burst} served within ${lastMs} ms`);
      expect(lastMs).toBeLessThanOrEqual(20);
    }
    expectRule(fleet, quotas);
  });

  it("keeps the rule when all fronts restart at once", async (t) => {
    const { quotas, fleet, programs, run } = await createUsedFleet(69);
    programs.factors.set("org-0", 6);
    await run(5_000);
    for (const name of fleet.names) fleet.kill(name);
    for (const name of fleet.names) fleet.add(name);
    programs.sent.clear();
    programs.denied.clear();
    await run(10_000);
    const denied = totalWithout(programs.denied, "org-0");
    t.diagnostic(
      `${denied} of ${totalWithout(programs.sent, "org-0")} refused`,
    );
    expectRule(fleet, quotas);
  });

  it("keeps the rule in halves, and when they are joined again", async (t) => {
    const { quotas, fleet, programs, run } = await createUsedFleet(69);
    programs.factors.set("org-0", 6);
    fleet.partition((i) => i % 2);
    await run(8_000);
    fleet.heal();
    await run(8_000);
    const denied = totalWithout(programs.denied, "org-0");
    t.diagnostic(
      `${denied} of ${totalWithout(programs.sent, "org-0")} refused`,
    );
    expectRule(fleet, quotas);
  });

  it("goes on after an allocator has ended or was frozen", async (t) => {
    const { quotas, fleet, programs, run } = await createUsedFleet(69);
    const allocator = fleet.allocator(groupOf("org-0"));
    fleet.kill(allocator);
    await run(5_000);
    t.diagnostic(`ended: ${totalWithout(programs.denied)} refused`);
    const next = fleet.allocator(groupOf("org-0"));
    programs.denied.clear();
    fleet.freeze(next);
    await run(4_000);
    fleet.resume(next);
    await run(MS_PER_S * 3);
    t.diagnostic(
      `frozen: ${totalWithout(programs.denied)} of ` +
        `${totalWithout(programs.sent)} refused`,
    );
    expectRule(fleet, quotas);
  });
});
