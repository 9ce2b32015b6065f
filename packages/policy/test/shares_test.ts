import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { type Grant, ShareAllocator, ShareHolder } from "../src/mod.ts";

const HOSTS = ["a", "b", "c", "d"];
const CALLER = "alice";
const TOLERANCE = 1e-9;

/** Model of hosts that request shares; responses may be lost or delayed. */
class ShareModel {
  now = 100_000;
  limit = 100;
  allocator = new ShareAllocator(0);
  readonly holders = new Map(HOSTS.map((it) => [it, new ShareHolder()]));
  #delayed: { host: string; grants: Grant[]; id: number }[] = [];

  /** Requests shares for `calls` calls; `reply` is the fate of the response. */
  send(
    host: string,
    calls: number,
    reply: "ok" | "lost" | "late",
  ): void {
    const demands = calls === 0
      ? []
      : [{ caller: CALLER, calls, used: 0, limit: this.limit }];
    const opts = { now: this.now, hosts: HOSTS };
    const request = this.holders.get(host)?.startRequest(this.now) ?? 0;
    const grants = this.allocator.updateDemands(host, demands, opts);
    if (reply === "ok") this.holders.get(host)?.acceptGrants(grants, request);
    if (reply === "late") {
      this.#delayed.push({ host, grants, id: request });
    }
  }

  /** Delivers the oldest delayed response. */
  deliverDelayed(): void {
    const late = this.#delayed.shift();
    if (late) this.holders.get(late.host)?.acceptGrants(late.grants, late.id);
  }

  totalFraction(): number {
    let total = 0;
    for (const holder of this.holders.values()) {
      const opts = { now: this.now, hosts: HOSTS.length, limit: this.limit };
      total += holder.fraction(CALLER, opts);
    }
    return total;
  }
}

type Action =
  | { kind: "ask"; host: string; calls: number; reply: "ok" | "lost" | "late" }
  | { kind: "deliver" }
  | { kind: "wait"; ms: number }
  | { kind: "new_ledger" };

function arbitraryAction(): fc.Arbitrary<Action> {
  return fc.oneof(
    fc.record({
      kind: fc.constant("ask" as const),
      host: fc.constantFrom(...HOSTS),
      calls: fc.integer({ min: 0, max: 20 }),
      reply: fc.constantFrom("ok" as const, "lost" as const, "late" as const),
    }),
    fc.constant<Action>({ kind: "deliver" }),
    fc.record({
      kind: fc.constant("wait" as const),
      ms: fc.integer({ min: 0, max: 3_000 }),
    }),
    fc.constant<Action>({ kind: "new_ledger" }),
  );
}

const arbitraryLimit = fc.constantFrom(1, 2, 5, 100);

describe("shares of a limit", () => {
  it("never add up to more than the limit, even if responses are lost or delayed", () => {
    fc.assert(
      fc.property(
        arbitraryLimit,
        fc.array(arbitraryAction(), { maxLength: 60 }),
        (
          limit,
          actions,
        ) => {
          const model = new ShareModel();
          model.limit = limit;
          for (const action of actions) {
            if (action.kind === "ask") {
              model.send(action.host, action.calls, action.reply);
            } else if (action.kind === "deliver") model.deliverDelayed();
            else if (action.kind === "wait") model.now += action.ms;
            else model.allocator = new ShareAllocator(model.now);
            expect(model.totalFraction() <= 1 + TOLERANCE).toEqual(true);
          }
        },
      ),
      { numRuns: 2_000 },
    );
  });

  it("ignore a late grant even if both requests were made in one millisecond", () => {
    const model = new ShareModel();
    model.limit = 5;
    model.send("a", 1, "late");
    model.send("a", 0, "ok");
    model.send("b", 1, "ok");
    model.deliverDelayed();
    expect(model.totalFraction() <= 1 + TOLERANCE).toEqual(true);
  });

  it("shift to the host that has demand", () => {
    const model = new ShareModel();
    for (let round = 0; round < 3; round++) {
      for (const host of HOSTS) model.send(host, host === "a" ? 10 : 0, "ok");
    }
    const opts = { now: model.now, hosts: HOSTS.length, limit: model.limit };
    const fraction = model.holders.get("a")?.fraction(CALLER, opts) ?? 0;
    expect(fraction >= 0.6).toEqual(true);
  });

  it("grant whole calls of a small limit to the hosts that request them", () => {
    const model = new ShareModel();
    model.limit = 2;
    for (let round = 0; round < 2; round++) {
      for (const host of HOSTS) model.send(host, 1, "ok");
    }
    const opts = { now: model.now, hosts: HOSTS.length, limit: 2 };
    const calls = [...model.holders.values()].map((it) =>
      Math.floor(it.fraction(CALLER, opts) * 2 + 1e-6)
    );
    expect(calls.reduce((total, it) => total + it, 0)).toEqual(2);
  });

  it("fall back to an even split if no grants arrive", () => {
    const model = new ShareModel();
    model.send("a", 10, "ok");
    model.now += 10_000;
    const opts = { now: model.now, hosts: HOSTS.length, limit: model.limit };
    for (const holder of model.holders.values()) {
      expect(holder.fraction(CALLER, opts)).toEqual(0.25);
    }
  });
});
