import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { type Grant, ShareHolder, ShareLedger } from "../src/mod.ts";

const HOSTS = ["a", "b", "c", "d"];
const CALLER = "alice";
const TOLERANCE = 1e-9;

/** Hosts that ask for shares; their messages may be lost or late. */
class ShareModel {
  now = 100_000;
  limit = 100;
  ledger = new ShareLedger(0);
  readonly holders = new Map(HOSTS.map((it) => [it, new ShareHolder()]));
  #late: { host: string; grants: Grant[]; ask: number }[] = [];

  ask(host: string, calls: number, fate: "ok" | "lost" | "late"): void {
    const demands = calls === 0
      ? []
      : [{ caller: CALLER, calls, used: 0, limit: this.limit }];
    const opts = { now: this.now, hosts: HOSTS };
    const number = this.holders.get(host)?.ask(this.now) ?? 0;
    const grants = this.ledger.report(host, demands, opts);
    if (fate === "ok") this.holders.get(host)?.take(grants, number);
    if (fate === "late") {
      this.#late.push({ host, grants, ask: number });
    }
  }

  deliverLate(): void {
    const late = this.#late.shift();
    if (late) this.holders.get(late.host)?.take(late.grants, late.ask);
  }

  sum(): number {
    let sum = 0;
    for (const holder of this.holders.values()) {
      const opts = { now: this.now, hosts: HOSTS.length, limit: this.limit };
      sum += holder.fraction(CALLER, opts);
    }
    return sum;
  }
}

type Action =
  | { kind: "ask"; host: string; calls: number; fate: "ok" | "lost" | "late" }
  | { kind: "deliver" }
  | { kind: "wait"; ms: number }
  | { kind: "new_ledger" };

function anyAction(): fc.Arbitrary<Action> {
  return fc.oneof(
    fc.record({
      kind: fc.constant("ask" as const),
      host: fc.constantFrom(...HOSTS),
      calls: fc.integer({ min: 0, max: 20 }),
      fate: fc.constantFrom("ok" as const, "lost" as const, "late" as const),
    }),
    fc.constant<Action>({ kind: "deliver" }),
    fc.record({
      kind: fc.constant("wait" as const),
      ms: fc.integer({ min: 0, max: 3_000 }),
    }),
    fc.constant<Action>({ kind: "new_ledger" }),
  );
}

const anyLimit = fc.constantFrom(1, 2, 5, 100);

describe("shares of a limit", () => {
  it("never add up to more than the whole, whatever is lost or late", () => {
    fc.assert(
      fc.property(anyLimit, fc.array(anyAction(), { maxLength: 60 }), (
        limit,
        actions,
      ) => {
        const model = new ShareModel();
        model.limit = limit;
        for (const action of actions) {
          if (action.kind === "ask") {
            model.ask(action.host, action.calls, action.fate);
          } else if (action.kind === "deliver") model.deliverLate();
          else if (action.kind === "wait") model.now += action.ms;
          else model.ledger = new ShareLedger(model.now);
          expect(model.sum() <= 1 + TOLERANCE).toEqual(true);
        }
      }),
      { numRuns: 2_000 },
    );
  });

  it("ignore a late grant though both asks fell into one millisecond", () => {
    const model = new ShareModel();
    model.limit = 5;
    model.ask("a", 1, "late");
    model.ask("a", 0, "ok");
    model.ask("b", 1, "ok");
    model.deliverLate();
    expect(model.sum() <= 1 + TOLERANCE).toEqual(true);
  });

  it("move to the host that has the demand", () => {
    const model = new ShareModel();
    for (let round = 0; round < 3; round++) {
      for (const host of HOSTS) model.ask(host, host === "a" ? 10 : 0, "ok");
    }
    const opts = { now: model.now, hosts: HOSTS.length, limit: model.limit };
    const fraction = model.holders.get("a")?.fraction(CALLER, opts) ?? 0;
    expect(fraction >= 0.6).toEqual(true);
  });

  it("give whole calls of a small limit to whoever asks", () => {
    const model = new ShareModel();
    model.limit = 2;
    for (let round = 0; round < 2; round++) {
      for (const host of HOSTS) model.ask(host, 1, "ok");
    }
    const opts = { now: model.now, hosts: HOSTS.length, limit: 2 };
    const calls = [...model.holders.values()].map((it) =>
      Math.floor(it.fraction(CALLER, opts) * 2 + 1e-6)
    );
    expect(calls.reduce((sum, it) => sum + it, 0)).toEqual(2);
  });

  it("fall back to an even split when nobody grants", () => {
    const model = new ShareModel();
    model.ask("a", 10, "ok");
    model.now += 10_000;
    const opts = { now: model.now, hosts: HOSTS.length, limit: model.limit };
    for (const holder of model.holders.values()) {
      expect(holder.fraction(CALLER, opts)).toEqual(0.25);
    }
  });
});
