import { createNoopLoggers } from "@toucantrestle/log";
import { createManualTimer, createSystemTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import {
  listAndWatch,
  MemoryStore,
  type WatchEndReason,
  type WatchOptions,
} from "../src/mod.ts";

let store: MemoryStore;
let items: Map<string, string>;
let reachability: boolean[];
let confirmations: number;
let subscription: { cancel(): void };

beforeEach(() => {
  store = new MemoryStore();
  items = new Map();
  reachability = [];
  confirmations = 0;
  subscription = listAndWatch({
    store,
    prefix: "p/",
    timer: createSystemTimer(),
    log: createNoopLoggers()("follow"),
    onSnapshot(snapshot) {
      items = new Map(snapshot.map((it) => [it.key, it.value]));
    },
    onEvents(events) {
      for (const event of events) {
        if (event.kind === "put") items.set(event.item.key, event.item.value);
        else items.delete(event.key);
      }
    },
    onReachable: (isReachable) => reachability.push(isReachable),
    onConfirmed: () => confirmations += 1,
  });
});

afterEach(() => subscription.cancel());

async function waitUntil(isDone: () => boolean): Promise<void> {
  const deadline = Date.now() + 4_000;
  while (!isDone()) {
    if (Date.now() > deadline) {
      throw new Error("condition not met within 4000 ms");
    }
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}

describe("listing and watching a prefix", () => {
  it("reports puts and deletes below the prefix only", async () => {
    await waitUntil(() => reachability.length === 1);
    store.put("p/a", 1);
    store.put("q/b", 2);
    store.put("p/c", 3);
    store.delete("p/a");
    await waitUntil(() => items.size === 1);
    expect([...items]).toEqual([["p/c", "3"]]);
  });

  it("reports each confirmation by the service, and none in an outage", async () => {
    await waitUntil(() => confirmations === 1);
    store.put("p/a", 1);
    await waitUntil(() => confirmations === 2);
    store.startOutage();
    await waitUntil(() => reachability.length === 2);
    expect(confirmations).toEqual(2);
  });

  it("resumes after an outage and reports each change of reachability", async () => {
    await waitUntil(() => reachability.length === 1);
    store.put("p/a", 1);
    store.startOutage();
    await waitUntil(() => reachability.length === 2);
    store.isUnavailable = false;
    store.put("p/b", 2);
    // MemoryStore ignores `fromRevision`: a watch reports only changes made
    // after its start, so wait until the retry has started one.
    await new Promise((resolve) => setTimeout(resolve, 1_200));
    store.put("p/c", 3);
    await waitUntil(() => items.has("p/c"));
    expect(reachability).toEqual([true, false, true]);
  });

  it("lists the prefix again if the history is compacted", async () => {
    await waitUntil(() => reachability.length === 1);
    store.put("p/a", 1);
    await waitUntil(() => items.has("p/a"));
    store.compact(() => store.delete("p/a"));
    await waitUntil(() => !items.has("p/a"));
    expect(reachability).toEqual([true]);
  });
});

// Guards against one change that keeps the later ones from being applied (LOST).
describe("a change that cannot be applied", () => {
  it("is logged, and the later ones are applied", async () => {
    const seen: number[] = [];
    const errors: string[] = [];
    const apply = (revision: number) => {
      seen.push(revision);
      if (seen.length < 3) throw new Error("odd item");
    };
    const odd = new MemoryStore();
    const watch = listAndWatch({
      store: odd,
      prefix: "p/",
      timer: createSystemTimer(),
      log: {
        ...createNoopLoggers()("odd"),
        error: (message) => errors.push(message),
      },
      onSnapshot: (_items, revision) => apply(revision),
      onEvents: (_events, revision) => apply(revision),
    });
    await waitUntil(() => seen.length === 1);
    odd.put("p/a", 1);
    odd.put("p/b", 2);
    watch.cancel();
    expect(seen).toEqual([1, 2, 3]);
    expect(errors.map((it) => it.includes("odd item"))).toEqual([true, true]);
  });
});

// Guards against a copy that is not updated any more after an error (FAULT).
describe("a part that listens to a list and fails", () => {
  it("does not end the watch", async () => {
    let failures = 0;
    const fail = () => {
      failures += 1;
      throw new Error("odd");
    };
    const seen = new Set<string>();
    const failing = listAndWatch({
      store,
      prefix: "p/",
      timer: createSystemTimer(),
      log: createNoopLoggers()("follow"),
      onSnapshot: fail,
      onEvents(events) {
        for (const it of events) {
          if (it.kind === "put") seen.add(it.item.key);
        }
        fail();
      },
      onReachable: fail,
      onConfirmed: fail,
    });
    await waitUntil(() => failures >= 2);
    store.put("p/a", 1);
    await waitUntil(() => seen.has("p/a"));
    store.put("p/b", 1);
    await waitUntil(() => seen.has("p/b"));
    failing.cancel();
  });
});

/** A store that ends each watch at once, and counts the lists. */
class ForgetfulStore extends MemoryStore {
  readonly #reason: WatchEndReason;
  listCount = 0;

  constructor(reason: WatchEndReason) {
    super();
    this.#reason = reason;
  }

  override list(prefix: string): ReturnType<MemoryStore["list"]> {
    this.listCount += 1;
    return super.list(prefix);
  }

  override watch(_prefix: string, { handlers }: WatchOptions) {
    setImmediate(() => handlers.onEnd(this.#reason));
    return { cancel: () => true };
  }
}

/** Lets everything happen that waits for no time. */
async function settle(): Promise<void> {
  for (let i = 0; i < 50; i++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

describe("a store that has no history for any watch", () => {
  for (const reason of ["compacted", "too_large"] as const) {
    // Guards against lists that use up the processor and the store's reads.
    it(`is listed again at once, and then after pauses (${reason})`, async () => {
      const forgetful = new ForgetfulStore(reason);
      const timer = createManualTimer();
      const watching = listAndWatch({
        store: forgetful,
        prefix: "p/",
        timer,
        log: createNoopLoggers()("follow"),
        onSnapshot: () => {},
        onEvents: () => {},
      });
      const counts: number[] = [];
      for (let i = 0; i < 3; i++) {
        await settle();
        counts.push(forgetful.listCount);
        timer.advance(250);
      }
      watching.cancel();
      expect(counts).toEqual([2, 3, 4]);
    });
  }
});
