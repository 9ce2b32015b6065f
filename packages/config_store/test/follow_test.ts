import { createSilentLoggers } from "@toucantrestle/log";
import { createSystemTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import { follow, MemoryStore } from "../src/mod.ts";

let store: MemoryStore;
let seen: Map<string, string>;
let reached: boolean[];
let following: { cancel(): void };

beforeEach(() => {
  store = new MemoryStore();
  seen = new Map();
  reached = [];
  following = follow({
    store,
    prefix: "p/",
    timer: createSystemTimer(),
    log: createSilentLoggers()("follow"),
    onSnapshot(items) {
      seen = new Map(items.map((it) => [it.key, it.value]));
    },
    onEvents(events) {
      for (const event of events) {
        if (event.kind === "put") seen.set(event.item.key, event.item.value);
        else seen.delete(event.key);
      }
    },
    onReachable: (isReachable) => reached.push(isReachable),
  });
});

afterEach(() => following.cancel());

async function until(isDone: () => boolean): Promise<void> {
  const endAt = Date.now() + 4_000;
  while (!isDone()) {
    if (Date.now() > endAt) throw new Error("it does not come to pass");
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}

describe("following a prefix", () => {
  it("sees changes and removals, and nothing of other prefixes", async () => {
    await until(() => reached.length === 1);
    store.put("p/a", 1);
    store.put("q/b", 2);
    store.put("p/c", 3);
    store.delete("p/a");
    await until(() => seen.size === 1);
    expect([...seen]).toEqual([["p/c", "3"]]);
  });

  it("goes on after an outage, and says when it lost and regained the store", async () => {
    await until(() => reached.length === 1);
    store.put("p/a", 1);
    store.cut();
    await until(() => reached.length === 2);
    store.isAway = false;
    store.put("p/b", 2);
    // The watch of the stand-in in memory starts at the time of the call.
    await new Promise((resolve) => setTimeout(resolve, 1_200));
    store.put("p/c", 3);
    await until(() => seen.has("p/c"));
    expect(reached).toEqual([true, false, true]);
  });

  it("reads everything anew when the history is gone", async () => {
    await until(() => reached.length === 1);
    store.put("p/a", 1);
    await until(() => seen.has("p/a"));
    store.compact(() => store.delete("p/a"));
    await until(() => !seen.has("p/a"));
    expect(reached).toEqual([true]);
  });
});
