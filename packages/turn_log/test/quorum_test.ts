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

describe("decideLookup", () => {
  const view = createView();

  it("finds a turn from a single copy", () => {
    const turn = createTurn("t1");
    const verdict = decideLookup(view, "t1", [
      createMissReply("a"),
      { ...createMissReply("b"), found: turn },
    ]);
    expect(verdict).toEqual({ kind: "found", turn });
  });

  it("reports a turn absent only if no quorum can have stored it", () => {
    const [a, b] = [createMissReply("a"), createMissReply("b")];
    expect(decideLookup(view, "t1", []).kind).toEqual("unknown");
    expect(decideLookup(view, "t1", [a]).kind).toEqual("unknown");
    expect(decideLookup(view, "t1", [a, b]).kind).toEqual("absent");
  });

  it("does not rely on one member that is still copying in a small view", () => {
    const small = createView({
      number: 2,
      ids: ["a", "b"],
      former: ["a", "b", "c"].map(createHost),
    });
    const partial = createMissReply("b", false);
    expect(decideLookup(small, "t1", [partial]).kind).toEqual("unknown");
    expect(decideLookup(small, "t1", [createMissReply("b")]).kind)
      .toEqual("absent");
  });

  it("never reports a stored turn as absent, whichever replicas answer", () => {
    fc.assert(fc.property(
      fc.integer({ min: 1, max: 9 }),
      fc.integer({ min: 0, max: 2 }),
      fc.string({ minLength: 1 }),
      fc.infiniteStream(fc.boolean()),
      (count, tolerate, key, coinFlips) => {
        const ids = Array.from({ length: count }, (_, i) => `m${i}`);
        const view = createView({ ids, tolerate });
        const replicas = replicasOf(view, key);
        const quorum = Math.min(tolerate + 1, count);
        const holders = new Set(replicas.slice(0, quorum).map((it) => it.id));
        const replies = replicas
          .filter(() => coinFlips.next().value)
          .map((it) => ({
            ...createMissReply(it.id),
            found: holders.has(it.id) ? createTurn(key) : undefined,
          }));
        expect(decideLookup(view, key, replies).kind === "absent")
          .toEqual(false);
      },
    ));
  });

  it("never reports absent what a quorum of the previous view stored", () => {
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
        const formerIds = replicasOf(former, key).map((it) => it.id);
        const first = (draws.next().value as number) % formerIds.length;
        const second = (first + 1) % formerIds.length;
        const holders = new Set([formerIds[first], formerIds[second]]);
        const replies = replicasOf(view, key).flatMap(({ id }) => {
          const draw = draws.next().value as number;
          const isComplete = draw === 0;
          // A member that is still copying answers only for keys that the
          // previous view assigned to it.
          const mayAnswer = isComplete || (draw < 3 && formerIds.includes(id));
          if (!mayAnswer) return [];
          const hasRecord = isComplete || holders.has(id);
          const found = hasRecord ? createTurn(key) : undefined;
          return [{ ...createMissReply(id, isComplete), found }];
        });
        expect(decideLookup(view, key, replies).kind === "absent")
          .toEqual(false);
      },
    ));
  });
});

describe("a member that is still copying", () => {
  const former = ["a", "b"].map(createHost);
  const view = createView({ number: 2, ids: ["a", "d"], former });

  it("stores new records, so that two members suffice to commit a turn", () => {
    const newMember = new Replica({ id: "d" });
    newMember.adoptView(view);
    expect(newMember.canStore("p")).toEqual(true);
    expect(newMember.canServe("p")).toEqual(false);
    const settled = createSpendingReplies([{ t1: { reserved: 10 } }]);
    const input = { view, program: "p", turn: "t1", reserve: 10, budget: 10 };
    expect(decideBudget({ ...input, replies: settled })).toEqual("granted");
    expect(decideBudget({ ...input, replies: [] })).toEqual("unknown");
  });

  it("stores nothing for a key that is assigned to other members", () => {
    const nonMember = new Replica({ id: "z" });
    nonMember.adoptView(view);
    expect(nonMember.canStore("p")).toEqual(false);
  });

  it("never makes a record absent that it helped to commit", () => {
    const members = fc.subarray(["a", "b", "c", "d", "e"], { minLength: 2 });
    fc.assert(fc.property(
      members,
      fc.string({ minLength: 1 }),
      fc.infiniteStream(fc.nat(3)),
      (ids, key, draws) => {
        const view = createView({ number: 2, ids, former });
        const replicas = replicasOf(view, key).map((it) => it.id);
        const first = (draws.next().value as number) % replicas.length;
        const second = (first + 1) % replicas.length;
        const holders = new Set([replicas[first], replicas[second]]);
        const replies = replicas.flatMap((id) => {
          const draw = draws.next().value as number;
          // A member that is copying accepts writes and serves no reads.
          const mayAnswer = draw === 0 || (draw < 3 && "ab".includes(id));
          if (!mayAnswer) return [];
          const found = holders.has(id) ? createTurn(key) : undefined;
          return [{ ...createMissReply(id, draw === 0), found }];
        });
        expect(decideLookup(view, key, replies).kind === "absent")
          .toEqual(false);
      },
    ));
  });
});

function createMissReply(member: string, isComplete = true) {
  return { member, isComplete, found: undefined };
}

/** Returns one reply per replica with its spending of a program. */
function createSpendingReplies(parts: Spending[]) {
  return parts.map((spending, i) => ({
    member: "abc"[i] ?? "",
    isComplete: true,
    spending,
  }));
}

describe("a program's budget", () => {
  it("counts a turn that never settled at its reserved tokens", () => {
    const replies = createSpendingReplies([
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

  it("is unknown with fewer replies than a quorum", () => {
    const verdict = decideBudget({
      view: createView(),
      program: "p",
      turn: "t1",
      reserve: 1,
      budget: 100,
      replies: createSpendingReplies([{}]),
    });
    expect(verdict).toEqual("unknown");
  });

  it("uses the settled value whichever replica has it", () => {
    const merged = mergeSpending([
      { t1: { reserved: 60 } },
      { t1: { reserved: 60, settled: 7 } },
      { t1: { reserved: 60 } },
    ]);
    expect(merged).toEqual({ t1: { reserved: 60, settled: 7 } });
  });

  it("never grants more than the budget to concurrent turns", () => {
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
        expect(simulateGrants(turns, order, 60) <= 60).toEqual(true);
      },
    ));
  });

  it("is not exceeded by three turns that each see one other", () => {
    const turns = [[0, 1], [1, 2], [2, 0]].map((at) => ({
      writes: at,
      reads: at,
      tokens: 30,
    }));
    for (let seed = 0; seed < 500; seed++) {
      const order = pseudoRandomNumbers(seed);
      expect(simulateGrants(turns, order, 60) <= 60).toEqual(true);
    }
  });
});

interface TurnPlan {
  /** Replicas that write the reservation, and those that are read after it. */
  writes: number[];
  reads: number[];
  tokens: number;
}

/**
 * Runs the steps of concurrent turns in a given order and returns the sum of the
 * tokens granted.
 */
function simulateGrants(
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
      replies: createSpendingReplies(replies[i]!),
    }) === "granted"
  );
  return granted.reduce((sum, it) => sum + it.tokens, 0);
}

/** Yields pseudo-random numbers from a seed (linear congruential generator). */
function* pseudoRandomNumbers(seed: number): Generator<number> {
  let state = seed;
  while (true) {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    yield Math.floor(state / 65_536);
  }
}
