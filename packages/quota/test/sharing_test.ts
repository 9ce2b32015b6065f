import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import { ModelSharing, type Reach } from "./model_sharing.ts";

const quotas = fc.record({
  ratePerS: fc.constantFrom(0.5, 3, 40, 400),
  burst: fc.constantFrom(0, 0.5, 10, 200),
});
const fronts = fc.constantFrom(1, 3, 20, 69, 330);
const index = fc.nat(329);
const requests = fc.record({
  kind: fc.constant("request" as const),
  index,
  count: fc.integer({ min: 1, max: 60 }),
  isNew: fc.boolean(),
});
const advances = fc.record({
  kind: fc.constant("advance" as const),
  ms: fc.integer({ min: 1, max: 900 }),
});
const renewals = fc.record({ kind: fc.constant("renew" as const), index });
const faults = fc.oneof(
  fc.record({ kind: fc.constant("restart" as const), index }),
  fc.record({ kind: fc.constant("freeze" as const), index }),
  fc.record({ kind: fc.constant("resume" as const), index }),
  fc.record({
    kind: fc.constant("reach" as const),
    index,
    reach: fc.constantFrom<Reach>("answers", "reply_lost", "none"),
  }),
);
const events = fc.array(
  fc.oneof(
    { weight: 6, arbitrary: requests },
    { weight: 6, arbitrary: advances },
    { weight: 2, arbitrary: renewals },
    { weight: 2, arbitrary: faults },
  ),
  { minLength: 5, maxLength: 250 },
);
type Event = (typeof events extends fc.Arbitrary<infer E> ? E : never)[0];

function apply(model: ModelSharing, event: Event): void {
  switch (event.kind) {
    case "request": {
      const kind = event.isNew ? "new" : "continued";
      model.request(event.index, { count: event.count, kind });
      return;
    }
    case "advance":
      return model.advance(event.ms);
    case "renew":
      return model.renew(event.index);
    case "restart":
      return model.restart(event.index);
    case "freeze":
      return model.freeze(event.index);
    case "resume":
      return model.resume(event.index);
    case "reach":
      return model.setReach(event.index, event.reach);
  }
}

// Guards against more requests in a window than the rule allows, which every
// lost, late or repeated token would cause.
describe("tokens shared by all fronts", () => {
  for (const isFirstStart of [true, false]) {
    it(`keep the rule in any order of events, first start ${isFirstStart}`, () => {
      fc.assert(fc.property(quotas, fronts, events, (quota, count, list) => {
        const model = new ModelSharing({ fronts: count, quota, isFirstStart });
        for (const event of list) apply(model, event);
        model.advance(1);
        expect(model.mostInWindow()).toBeLessThanOrEqual(model.allowedInWindow);
      }));
    });
  }

  it("keep the rule over two changes of allocator in a window", () => {
    fc.assert(fc.property(quotas, fronts, events, (quota, count, list) => {
      const model = new ModelSharing({
        fronts: count,
        quota,
        isFirstStart: true,
      });
      let changedAt = 0;
      for (const event of list) {
        if (model.now - changedAt > 2_500) {
          model.replaceAllocator();
          changedAt = model.now;
        }
        apply(model, event);
      }
      model.advance(1);
      expect(model.mostInWindow()).toBeLessThanOrEqual(model.allowedInWindow);
    }));
  });

  it("keep a lower rule one window after the quota was lowered", () => {
    fc.assert(fc.property(fronts, events, events, (count, before, after) => {
      const quota = { ratePerS: 100, burst: 50 };
      const model = new ModelSharing({
        fronts: count,
        quota,
        isFirstStart: true,
      });
      for (const event of before) apply(model, event);
      model.setQuota({ ratePerS: 2, burst: 1 });
      const since = model.now + 5_000;
      for (const event of after) apply(model, event);
      const allowed = model.allowedInWindow;
      expect(model.mostInWindow(since)).toBeLessThanOrEqual(allowed);
    }));
  });

  it("are granted to all requests in calm use under the quota", () => {
    const places = fc.array(index, { minLength: 200, maxLength: 400 });
    fc.assert(
      fc.property(fronts, places, (count, list) => {
        const quota = { ratePerS: 40, burst: 10 };
        const model = new ModelSharing({
          fronts: count,
          quota,
          isFirstStart: true,
        });
        let refused = 0;
        list.forEach((place, i) => {
          model.advance(40);
          const kind = i % 10 === 0 ? "new" : "continued";
          refused += model.request(place, { count: 1, kind });
          if (i % 30 === 0) {
            for (let front = 0; front < count; front++) model.renew(front);
          }
        });
        expect(refused).toEqual(0);
      }),
      { numRuns: 50 },
    );
  });

  it("grant the whole rate while requests never stop", () => {
    const quota = { ratePerS: 30, burst: 5 };
    const model = new ModelSharing({ fronts: 7, quota, isFirstStart: false });
    for (let i = 0; i < 1_000; i++) {
      model.advance(20);
      model.request(i, { count: 2, kind: "continued" });
    }
    expect(model.runs.length).toBeGreaterThanOrEqual(0.9 * 30 * 20);
  });
});
