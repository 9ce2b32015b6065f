import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import {
  type DeferredRecord,
  keyOfRecord,
  Replica,
  type TurnLogRecord,
} from "../src/mod.ts";
import { createHost, createSpend, createTurn, createView } from "./fixtures.ts";

describe("the origin of a stream", () => {
  const origin = (ordinal: number) => ({
    service: "s",
    softwareVersion: `v${ordinal}`,
    upstream: `u${ordinal}`,
    ordinal,
  });

  // Guards against a stream whose beginning depends on what arrives last (ORDER).
  it("is the last one recorded, in whatever order the records arrive", () => {
    const records = [
      createSpend("t", { origin: origin(1) }),
      createSpend("t", { origin: origin(2) }),
      createSpend("t", { origin: origin(2), settled: 4 }),
      createSpend("t", { origin: undefined }),
    ];
    const order = fc.shuffledSubarray(records, { minLength: records.length });
    fc.assert(fc.property(order, (shuffled) => {
      const replica = new Replica({ id: "a" });
      for (const it of shuffled) replica.apply(it);
      const { program, turn } = records[0]!;
      expect(replica.originOf(program, turn)).toEqual(origin(2));
      expect(replica.spendingOf(program)[turn]?.settled).toEqual(4);
    }));
  });
});

describe("Replica", () => {
  it("serves reads in the first view at once", () => {
    const replica = new Replica({ id: "a" });
    replica.adoptView(createView());
    expect(replica.isComplete).toEqual(true);
    expect(replica.canServe("t1")).toEqual(true);
  });

  it("is not complete in a first view that does not include it", () => {
    const replica = new Replica({ id: "z" });
    replica.adoptView(createView());
    expect(replica.isComplete).toEqual(false);
  });

  it("serves no reads as a new member until it has copied all records", () => {
    const replica = new Replica({ id: "d" });
    const view = createView({
      number: 2,
      ids: ["a", "b", "d"],
      former: ["a", "b", "c"].map(createHost),
    });
    replica.adoptView(view);
    expect(replica.canServe("t1")).toEqual(false);
    expect(replica.markComplete(2)).toEqual(true);
    expect(replica.canServe("t1")).toEqual(true);
  });

  it("keeps serving the keys that the previous view assigned to it", () => {
    const replica = new Replica({ id: "a" });
    replica.adoptView(createView());
    replica.adoptView(createView({ number: 2, ids: ["a", "b", "d"] }));
    expect(replica.isComplete).toEqual(false);
    expect(replica.canServe("t1")).toEqual(true);
  });

  it("serves no reads after it has missed a view", () => {
    const replica = new Replica({ id: "a" });
    replica.adoptView(createView());
    replica.adoptView(createView({ number: 3, ids: ["a", "b", "d"] }));
    expect(replica.canServe("t1")).toEqual(false);
  });

  it("never adopts an older view", () => {
    const replica = new Replica({ id: "a" });
    replica.adoptView(createView({ number: 3 }));
    expect(replica.adoptView(createView({ number: 2 }))).toEqual(false);
    expect(replica.markComplete(2)).toEqual(false);
  });

  it("keeps a settled value when the reservation arrives later", () => {
    const replica = new Replica({ id: "a" });
    replica.apply(createSpend("t1", { settled: 4 }));
    replica.apply(createSpend("t1"));
    expect(replica.spendingOf("p")).toEqual({
      t1: { reserved: 10, settled: 4 },
    });
  });

  it("returns the latest prompt hint of each conversation", () => {
    const replica = new Replica({ id: "a" });
    const hintAt = (upstream: string) => ({
      parts: [{ id: "shared", tokens: 9 }, { id: "own", tokens: 4 }],
      upstream,
    });
    replica.apply(createSpend("t1", { settled: 1, hint: hintAt("u1") }));
    replica.apply(createSpend("t2", { settled: 1, hint: hintAt("u2") }));
    expect(replica.hintsOf("p")).toEqual([hintAt("u2")]);
    expect(replica.hintsOf("q")).toEqual([]);
  });

  describe("after a restart", () => {
    it("loads a record only on first access", () => {
      const { replica, loadedIds } = createRestartedReplica(["t1", "t2"]);
      expect(loadedIds).toEqual([]);
      expect(replica.findTurn("t2")?.id).toEqual("t2");
      expect(replica.findTurn("t3")).toEqual(undefined);
      expect(loadedIds).toEqual(["t2"]);
    });

    it("evicts an expired record without loading it", () => {
      const { replica, loadedIds } = createRestartedReplica(["t1"]);
      replica.sweep(2_000);
      expect(replica.hasTurn("t1")).toEqual(false);
      expect(loadedIds).toEqual([]);
    });

    it("does not report an unreadable record as absent", () => {
      const replica = new Replica({ id: "a" });
      replica.applyDeferred({
        key: keyOfRecord(createTurn("t1")),
        expiresAt: 1_000,
        read: () => {
          throw new Error("damaged");
        },
      });
      expect(() => replica.findTurn("t1")).toThrow("damaged");
      expect(() => replica.findTurn("t1")).toThrow("damaged");
    });

    it("lists records in the inventory without loading them", () => {
      const { replica, loadedIds } = createRestartedReplica(["t1", "t2"]);
      const { turns } = replica.inventoryFor(createView(), "a");
      expect(turns).toEqual(["t1", "t2"]);
      expect(loadedIds).toEqual([]);
    });

    it("applies a new record after the deferred records of its key", () => {
      const replica = new Replica({ id: "a" });
      const hintAt = (upstream: string) => ({
        parts: [{ id: "own", tokens: 4 }],
        upstream,
      });
      const old = createSpend("t1", { settled: 1, hint: hintAt("u1") });
      replica.applyDeferred(createDeferred(old, () => {}));
      replica.apply(createSpend("t2", { settled: 1, hint: hintAt("u2") }));
      expect(replica.hintsOf("p")).toEqual([hintAt("u2")]);
      expect(Object.keys(replica.spendingOf("p"))).toEqual(["t1", "t2"]);
    });
  });

  it("evicts only expired records", () => {
    const replica = new Replica({ id: "a" });
    replica.apply(createTurn("t1"));
    replica.apply({ ...createTurn("t2"), expiresAt: 3_000 });
    replica.sweep(2_000);
    expect(replica.hasTurn("t1")).toEqual(false);
    expect(replica.hasTurn("t2")).toEqual(true);
    expect(replica.bytes).toEqual("prompt of t2".length);
  });
});

/** Returns a replica with deferred turns, and the ids of the loaded ones. */
function createRestartedReplica(ids: string[]) {
  const replica = new Replica({ id: "a" });
  const loadedIds: string[] = [];
  for (const id of ids) {
    replica.applyDeferred(
      createDeferred(createTurn(id), () => loadedIds.push(id)),
    );
  }
  return { replica, loadedIds };
}

function createDeferred(
  record: TurnLogRecord,
  onRead: () => void,
): DeferredRecord {
  return {
    key: keyOfRecord(record),
    expiresAt: record.expiresAt,
    read() {
      onRead();
      return record;
    },
  };
}
