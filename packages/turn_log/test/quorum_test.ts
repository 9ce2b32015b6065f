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
import { createHost, createSpend, createTurn, createView } from "./fixtures.ts";

describe("looking a turn up", () => {
  const view = createView();

  it("trusts one copy", () => {
    const turn = createTurn("t1");
    const verdict = decideLookup(view, "t1", [
      createDenial("a"),
      { ...createDenial("b"), found: turn },
    ]);
    expect(verdict).toEqual({ kind: "found", turn });
  });

  it("denies a turn only when no quorum can have kept it", () => {
    const [a, b] = [createDenial("a"), createDenial("b")];
    expect(decideLookup(view, "t1", []).kind).toEqual("unknown");
    expect(decideLookup(view, "t1", [a]).kind).toEqual("unknown");
    expect(decideLookup(view, "t1", [a, b]).kind).toEqual("absent");
  });

  it("does not trust one member of a small view that still copies", () => {
    const small = createView({
      number: 2,
      ids: ["a", "b"],
      former: ["a", "b", "c"].map(createHost),
    });
    const copying = createDenial("b", false);
    expect(decideLookup(small, "t1", [copying]).kind).toEqual("unknown");
    expect(decideLookup(small, "t1", [createDenial("b")]).kind)
      .toEqual("absent");
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
            ...createDenial(it.id),
            found: keepers.has(it.id) ? createTurn(key) : undefined,
          }));
        expect(decideLookup(wide, key, replies).kind === "absent")
          .toEqual(false);
      },
    ));
  });

  it("never denies what a quorum of the view before kept", () => {
    const members = fc.subarray(["a", "b", "c", "d", "e"], { minLength: 2 });
    fc.assert(fc.property(
      members,
      members,
      fc.string({ minLength: 1 }),
      fc.infiniteStream(fc.nat(3)),
      (before, after, key, draws) => {
        const former = createView({ ids: before });
        const view = createView({
          number: 2,
          ids: after,
          former: before.map(createHost),
        });
        const kept = replicasOf(former, key).map((it) => it.id);
        const first = (draws.next().value as number) % kept.length;
        const second = (first + 1) % kept.length;
        const keepers = new Set([kept[first], kept[second]]);
        const replies = replicasOf(view, key).flatMap(({ id }) => {
          const draw = draws.next().value as number;
          const isComplete = draw === 0;
          // A member that has not copied answers only for what it kept before.
          const mayAnswer = isComplete || (draw < 3 && kept.includes(id));
          if (!mayAnswer) return [];
          const hasIt = isComplete || keepers.has(id);
          const found = hasIt ? createTurn(key) : undefined;
          return [{ ...createDenial(id, isComplete), found }];
        });
        expect(decideLookup(view, key, replies).kind === "absent")
          .toEqual(false);
      },
    ));
  });
});

describe("a member that still copies", () => {
  const former = ["a", "b"].map(createHost);
  const view = createView({ number: 2, ids: ["a", "d"], former });

  it("keeps new records, so that two disks suffice for a turn", () => {
    const newcomer = new Replica({ id: "d" });
    newcomer.adoptView(view);
    expect(newcomer.canKeep("p")).toEqual(true);
    expect(newcomer.canServe("p")).toEqual(false);
    const settled = createReplies([{ t1: { reserved: 10 } }]);
    const input = { view, program: "p", turn: "t1", reserve: 10, budget: 10 };
    expect(decideBudget({ ...input, replies: settled })).toEqual("granted");
    expect(decideBudget({ ...input, replies: [] })).toEqual("unknown");
  });

  it("keeps nothing for a key that others keep", () => {
    const stranger = new Replica({ id: "z" });
    stranger.adoptView(view);
    expect(stranger.canKeep("p")).toEqual(false);
  });

  it("never makes a record look absent that it helped to keep", () => {
    const members = fc.subarray(["a", "b", "c", "d", "e"], { minLength: 2 });
    fc.assert(fc.property(
      members,
      fc.string({ minLength: 1 }),
      fc.infiniteStream(fc.nat(3)),
      (ids, key, draws) => {
        const wide = createView({ number: 2, ids, former });
        const replicas = replicasOf(wide, key).map((it) => it.id);
        const first = (draws.next().value as number) % replicas.length;
        const second = (first + 1) % replicas.length;
        const keepers = new Set([replicas[first], replicas[second]]);
        const replies = replicas.flatMap((id) => {
          const draw = draws.next().value as number;
          // A member that copies keeps records and answers no questions.
          const mayAnswer = draw === 0 || (draw < 3 && "ab".includes(id));
          if (!mayAnswer) return [];
          const found = keepers.has(id) ? createTurn(key) : undefined;
          return [{ ...createDenial(id, draw === 0), found }];
        });
        expect(decideLookup(wide, key, replies).kind === "absent")
          .toEqual(false);
      },
    ));
  });
});

function createDenial(member: string, isComplete = true) {
  return { member, isComplete, found: undefined };
}

/** Replies of different replicas to the question what a program has spent. */
function createReplies(parts: Spending[]) {
  return parts.map((spending, i) => ({
    member: "abc"[i] ?? "",
    isComplete: true,
    spending,
  }));
}

describe("a program's budget", () => {
  it("counts a turn that never settled at its most", () => {
    const replies = createReplies([
      { t1: { reserved: 60 }, t2: { reserved: 50 } },
      { t2: { reserved: 50 } },
    ]);
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
      replies: createReplies([{}]),
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
    const quorum = fc.shuffledSubarray([0, 1, 2], { minLength: 2 });
    fc.assert(fc.property(
      fc.array(
        fc.record({
          writes: quorum,
          reads: quorum,
          tokens: fc.integer({ min: 1, max: 50 }),
        }),
        { minLength: 1, maxLength: 8 },
      ),
      fc.infiniteStream(fc.nat()),
      (turns, order) => {
        expect(grantedTokens(turns, order, 60) <= 60).toEqual(true);
      },
    ));
  });

  it("is not granted to three turns that each see one other", () => {
    const turns = [[0, 1], [1, 2], [2, 0]].map((at) => ({
      writes: at,
      reads: at,
      tokens: 30,
    }));
    for (let seed = 0; seed < 500; seed++) {
      const order = numbersFrom(seed);
      expect(grantedTokens(turns, order, 60) <= 60).toEqual(true);
    }
  });
});

interface TurnPlan {
  /** Replicas that write the reservation, and those that are read after. */
  writes: number[];
  reads: number[];
  tokens: number;
}

/** Plays turns at the same time, their steps in a given order. */
function grantedTokens(
  turns: TurnPlan[],
  order: Iterator<number>,
  budget: number,
): number {
  const view = createView();
  const replicas = [0, 1, 2].map((i) => new Replica({ id: `r${i}` }));
  const replies = turns.map((): Spending[] => []);
  const steps = turns.map((turn) => [
    ...turn.writes.map((replica) => ({ kind: "write", replica })),
    ...turn.reads.map((replica) => ({ kind: "read", replica })),
  ]);
  while (steps.some((it) => it.length > 0)) {
    const open = steps.flatMap((it, i) => it.length > 0 ? [i] : []);
    const i = open[(order.next().value as number) % open.length]!;
    const step = steps[i]!.shift()!;
    const replica = replicas[step.replica]!;
    const reserved = turns[i]!.tokens;
    if (step.kind === "read") replies[i]!.push(replica.spendingOf("p"));
    else replica.apply(createSpend(`t${i}`, { reserved }));
  }
  const granted = turns.filter((turn, i) =>
    decideBudget({
      view,
      program: "p",
      turn: `t${i}`,
      reserve: turn.tokens,
      budget,
      replies: createReplies(replies[i]!),
    }) === "granted"
  );
  return granted.reduce((sum, it) => sum + it.tokens, 0);
}

/** Numbers that look random, from a seed (a linear congruential generator). */
function* numbersFrom(seed: number): Generator<number> {
  let state = seed;
  while (true) {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    yield Math.floor(state / 65_536);
  }
}
