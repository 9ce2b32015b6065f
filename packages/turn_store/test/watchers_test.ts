import type { View } from "@toucantrestle/turn_log";
import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { chooseWatchers } from "../src/watchers.ts";

function createView(ids: string[], tolerate: number): View {
  const members = ids.map((id) => ({
    id,
    host: id,
    address: "",
    dataCentre: "north",
  }));
  return { number: 1, tolerate, members, former: [] };
}

describe("chooseWatchers", () => {
  it("leaves a watcher whenever as many members are lost as may be", () => {
    const scenario = fc.integer({ min: 1, max: 3 }).chain((tolerate) =>
      fc.record({
        tolerate: fc.constant(tolerate),
        ids: fc.uniqueArray(fc.string({ minLength: 1 }), {
          minLength: 2 * tolerate + 1,
          maxLength: 24,
        }),
        lost: fc.array(fc.nat(), { maxLength: tolerate }),
      })
    );
    fc.assert(fc.property(scenario, ({ tolerate, ids, lost }) => {
      const view = createView(ids, tolerate);
      const before = chooseWatchers(view, () => true);
      const lostIds = new Set(lost.map((it) => ids[it % ids.length]));
      expect([...before].some((it) => !lostIds.has(it))).toEqual(true);
      const after = chooseWatchers(view, (it) => !lostIds.has(it));
      const proposer = ids.filter((it) => !lostIds.has(it)).sort()[0];
      expect(after.has(proposer ?? "")).toEqual(true);
      // It has queried all states before the loss and knows how long they last.
      expect(before.has(proposer ?? "")).toEqual(true);
    }));
  });
});
