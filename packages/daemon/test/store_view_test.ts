import { MemoryStore } from "@toucantrestle/config_store";
import { createNoopLoggers } from "@toucantrestle/log";
import { createSystemTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { HOSTS_PREFIX } from "../src/keyspace.ts";
import { StoreView } from "../src/store_view.ts";

const POLL_MS = 5;
const WAIT_MS = 5_000;

function hostText(runId: string): string {
  return JSON.stringify({
    runId,
    host: runId,
    dataCentre: "dc",
    address: "127.0.0.1:1",
    siblingAddress: "127.0.0.1:2",
    state: "live",
  });
}

async function put(
  store: MemoryStore,
  key: string,
  value: string,
): Promise<void> {
  await store.txn({
    compares: [],
    puts: [{ key: HOSTS_PREFIX + key, value }],
    deletes: [],
  });
}

async function waitForHost(view: StoreView, runId: string): Promise<boolean> {
  const deadline = performance.now() + WAIT_MS;
  while (!view.hosts.has(runId) && performance.now() < deadline) {
    await delay(POLL_MS);
  }
  return view.hosts.has(runId);
}

describe("view of the key-value service", () => {
  // Guards against one malformed entry that hides all others.
  it("has the sound entries beside a malformed one", async () => {
    const store = new MemoryStore();
    await put(store, "0", "text");
    await put(store, "a", hostText("a"));
    const view = new StoreView({
      store,
      timer: createSystemTimer(),
      log: createNoopLoggers()("table"),
    });
    view.start();
    expect(await waitForHost(view, "a")).toEqual(true);
    await put(store, "1", "{}");
    await put(store, "b", hostText("b"));
    expect(await waitForHost(view, "b")).toEqual(true);
    expect([...view.hosts.keys()]).toEqual(["a", "b"]);
    view.close();
  });
});
