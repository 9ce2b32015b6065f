import { expect } from "earl";
import { describe, it } from "node:test";
import { IsolationQueue } from "../src/mod.ts";

function createQueue(suspects: [string, number][]) {
  const queue = new IsolationQueue();
  const granted: string[] = [];
  for (const [fingerprint, startedAt] of suspects) {
    const grant = () => granted.push(fingerprint);
    queue.enqueue({ fingerprint, startedAt }, { now: 0, grant });
  }
  return { queue, granted };
}

describe("crash suspects", () => {
  it("run one at a time, most recently started first", () => {
    const { queue, granted } = createQueue([["a", 1], ["c", 3], ["b", 2]]);
    queue.poll(200);
    queue.poll(300);
    expect(granted).toEqual(["c"]);
    queue.endTurn("c");
    queue.poll(400);
    expect(granted).toEqual(["c", "b"]);
  });

  it("are collected before the first one runs", () => {
    const { queue, granted } = createQueue([["a", 1]]);
    queue.poll(100);
    expect(granted).toEqual([]);
  });

  it("are all released when one is identified as the cause", () => {
    const { queue, granted } = createQueue([["a", 1], ["b", 2], ["c", 3]]);
    queue.poll(200);
    queue.releaseAll();
    expect(granted).toEqual(["c", "b", "a"]);
  });

  it("lose their turn after a timeout", () => {
    const { queue, granted } = createQueue([["a", 1], ["b", 2]]);
    queue.poll(200);
    queue.poll(200_000);
    expect(granted).toEqual(["b", "a"]);
  });
});
