import { expect } from "earl";
import { describe, it } from "node:test";
import { decideFirstView, type FirstViewInput } from "../src/first_view.ts";

/** Host `b` of three hosts decides; all of them answer and know no view. */
function decide(
  { changes = {}, ...overrides }: Partial<FirstViewInput> & {
    changes?: Record<string, { isReachable?: boolean; viewNumber?: number }>;
  },
) {
  const hosts = ["a", "b", "c"].map((id) => ({
    host: { id, host: id, address: `${id}:1`, dataCentre: id },
    isReachable: true,
    viewNumber: 0,
    ...changes[id],
  }));
  const input = {
    self: "b",
    hosts,
    uptimeMs: 5_000,
    isFirstStart: false,
    tolerate: 1,
    ...overrides,
  };
  return decideFirstView(input)?.members.map((it) => it.id);
}

const ALL = ["a", "b", "c"];

describe("first view", () => {
  it("is proposed by the lowest host that answers in a first start", () => {
    const early = { isFirstStart: true, uptimeMs: 1_300 };
    expect(decide(early)).toEqual(undefined);
    const changes = { a: { isReachable: false } };
    expect(decide({ ...early, changes })).toEqual(ALL);
    expect(decide({ ...early, uptimeMs: 1_000, changes })).toEqual(undefined);
  });

  // Guards against a first view that waits for a host which proposes none.
  it("is proposed by any host of a first start after some time", () => {
    const changes = { a: { viewNumber: 0 }, c: { isReachable: false } };
    expect(decide({ isFirstStart: true, changes })).toEqual(ALL);
  });

  // Guards against a deployment that never starts because its hosts have
  // started again.
  it("is proposed after other starts if no host knows a view", () => {
    expect(decide({})).toEqual(ALL);
    expect(decide({ uptimeMs: 2_000 })).toEqual(undefined);
  });

  // Guards against a first view that forgets the records of one before.
  it("is not proposed after other starts while a host may know a view", () => {
    expect(decide({ changes: { c: { viewNumber: 4 } } })).toEqual(undefined);
    expect(decide({ changes: { a: { isReachable: false } } }))
      .toEqual(undefined);
    expect(decide({ changes: { a: { viewNumber: undefined } } }))
      .toEqual(undefined);
  });

  it("is not proposed by too few hosts", () => {
    expect(decide({ isFirstStart: true, tolerate: 3 })).toEqual(undefined);
  });
});
