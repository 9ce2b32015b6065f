import { expect } from "earl";
import { describe, it } from "node:test";
import { Replica } from "../src/mod.ts";
import { createHost, createSpend, createTurn, createView } from "./fixtures.ts";

describe("a replica", () => {
  it("serves the first view at once", () => {
    const replica = new Replica({ id: "a" });
    replica.adoptView(createView());
    expect(replica.isComplete).toEqual(true);
    expect(replica.canServe("t1")).toEqual(true);
  });

  it("is not complete in a first view that it is no member of", () => {
    const replica = new Replica({ id: "z" });
    replica.adoptView(createView());
    expect(replica.isComplete).toEqual(false);
  });

  it("answers nothing as a newcomer until it has copied", () => {
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

  it("goes on serving the keys that it kept in the view before", () => {
    const replica = new Replica({ id: "a" });
    replica.adoptView(createView());
    replica.adoptView(createView({ number: 2, ids: ["a", "b", "d"] }));
    expect(replica.isComplete).toEqual(false);
    expect(replica.canServe("t1")).toEqual(true);
  });

  it("serves nothing when it has missed a view", () => {
    const replica = new Replica({ id: "a" });
    replica.adoptView(createView());
    replica.adoptView(createView({ number: 3, ids: ["a", "b", "d"] }));
    expect(replica.canServe("t1")).toEqual(false);
  });

  it("never goes back to an older view", () => {
    const replica = new Replica({ id: "a" });
    replica.adoptView(createView({ number: 3 }));
    expect(replica.adoptView(createView({ number: 2 }))).toEqual(false);
    expect(replica.markComplete(2)).toEqual(false);
  });

  it("keeps a settled figure when the reservation comes late", () => {
    const replica = new Replica({ id: "a" });
    replica.apply(createSpend("t1", { settled: 4 }));
    replica.apply(createSpend("t1"));
    expect(replica.spendingOf("p")).toEqual({
      t1: { reserved: 10, settled: 4 },
    });
  });

  it("tells where the prompt of each line of turns was read last", () => {
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

  it("forgets what has expired and nothing else", () => {
    const replica = new Replica({ id: "a" });
    replica.apply(createTurn("t1"));
    replica.apply({ ...createTurn("t2"), expiresAt: 3_000 });
    replica.sweep(2_000);
    expect(replica.hasTurn("t1")).toEqual(false);
    expect(replica.hasTurn("t2")).toEqual(true);
    expect(replica.bytes).toEqual("prompt of t2".length);
  });
});
