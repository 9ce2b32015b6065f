import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import {
  decideBudget,
  decideLookup,
  mergeSpending,
  Replica,
  replicasOf,
  type Spending,
} from "../src/mod.ts";
import { createSpend, createTurn, createView } from "./fixtures.ts";

describe("looking a turn up", () => {
  const view = createView();

  it("trusts one copy", () => {
    const turn = createTurn("t1");
    const verdict = decideLookup(view, "t1", [{ found: undefined }, {
      found: turn,
    }]);
    expect(verdict).toEqual({ kind: "found", turn });
  });

  it("denies a turn only when no quorum can have kept it", () => {
    const none = { found: undefined };
    expect(decideLookup(view, "t1", []).kind).toEqual("unknown");
    expect(decideLookup(view, "t1", [none]).kind).toEqual("unknown");
    expect(decideLookup(view, "t1", [none, none]).kind).toEqual("absent");
  });

  it("never denies a kept turn, whichever replicas answer", () => {
    fc.assert(fc.property(
      fc.integer({ min: 1, max: 9 }),
      fc.integer({ min: 0, max: 2 }),
      fc.string({ minLength: 1 }),
      fc.infiniteStream(fc.boolean()),
      (count, tolerate, key, coins) => {
        const ids = Array.from({ length: count }, (_, i) => `m${i}`);
        const wide = createView({ ids, tolerate });
        const replicas = replicasOf(wide, key);
        const quorum = Math.min(tolerate + 1, count);
        const keepers = new Set(replicas.slice(0, quorum).map((it) => it.id));
        const replies = replicas
          .filter(() => coins.next().value)
          .map((it) => ({
            found: keepers.has(it.id) ? createTurn(key) : undefined,
          }));
        expect(decideLookup(wide, key, replies).kind === "absent")
          .toEqual(false);
      },
    ));
  });
});

describe("a program's budget", () => {
  it("counts a turn that never settled at its most", () => {
    const replies: Spending[] = [
      { t1: { reserved: 60 }, t2: { reserved: 50 } },
      { t2: { reserved: 50 } },
    ];
    const opts = {
      view: createView(),
      program: "p",
      turn: "t2",
      reserve: 50,
      replies,
    };
    expect(decideBudget({ ...opts, budget: 100 })).toEqual("spent");
    expect(decideBudget({ ...opts, budget: 110 })).toEqual("granted");
  });

  it("is not known from fewer replies than a quorum", () => {
    const verdict = decideBudget({
      view: createView(),
      program: "p",
      turn: "t1",
      reserve: 1,
      budget: 100,
      replies: [{}],
    });
    expect(verdict).toEqual("unknown");
  });

  it("takes the settled figure whichever replica has it", () => {
    const merged = mergeSpending([
      { t1: { reserved: 60 } },
      { t1: { reserved: 60, settled: 7 } },
      { t1: { reserved: 60 } },
    ]);
    expect(merged).toEqual({ t1: { reserved: 60, settled: 7 } });
  });

  it("never grants more than the budget to turns at the same time", () => {
    fc.assert(fc.property(
      fc.array(
        fc.record({
          writes: fc.shuffledSubarray([0, 1, 2], { minLength: 2 }),
          tokens: fc.integer({ min: 1, max: 50 }),
        }),
        { minLength: 1, maxLength: 8 },
      ),
      fc.infiniteStream(fc.nat()),
      (turns, order) => {
        const view = createView();
        const replicas = [0, 1, 2].map((i) => new Replica({ id: `r${i}` }));
        const steps = turns.flatMap((turn, i) =>
          turn.writes.map((replica) => ({ turn: i, replica }))
        );
        const replies = turns.map((): Spending[] => []);
        while (steps.length > 0) {
          const at = (order.next().value as number) % steps.length;
          const step = steps.splice(at, 1)[0]!;
          const replica = replicas[step.replica]!;
          const tokens = turns[step.turn]!.tokens;
          replica.apply(createSpend(`t${step.turn}`, { reserved: tokens }));
          replies[step.turn]!.push(replica.spendingOf("p"));
        }
        let granted = 0;
        turns.forEach((turn, i) => {
          const verdict = decideBudget({
            view,
            program: "p",
            turn: `t${i}`,
            reserve: turn.tokens,
            budget: 60,
            replies: replies[i]!,
          });
          if (verdict === "granted") granted += turn.tokens;
        });
        expect(granted <= 60).toEqual(true);
      },
    ));
  });
});
