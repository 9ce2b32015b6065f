import { MemoryStore } from "@toucantrestle/config_store";
import { createNoopLoggers } from "@toucantrestle/log";
import { type UpstreamEntry, UpstreamRegistry } from "@toucantrestle/routing";
import { createManualTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { beforeEach, describe, it } from "node:test";
import type { UpstreamChange } from "../src/protocol.ts";
import { UpstreamWatcher } from "../src/upstream_watcher.ts";
import { testProtocol } from "./test_protocol.ts";

const KEY = "upstreams/u1";
const MISSING_GRACE_MS = 2_400;

let store: MemoryStore;
let isReader: boolean;
let goneCount: number;
let announced: UpstreamChange[];

beforeEach(() => {
  store = new MemoryStore();
  isReader = true;
  goneCount = 0;
  announced = [];
});

function createEntry(opts: Partial<UpstreamEntry> = {}): UpstreamEntry {
  return {
    id: "u1",
    service: "s",
    address: "10.0.0.1:80",
    dataCentre: "a",
    slots: 1,
    isDraining: false,
    coldLeftMs: 0,
    softwareVersion: "v1",
    startedAt: 0,
    ...opts,
  };
}

async function startWatcher() {
  const timer = createManualTimer();
  const upstreamRegistry = new UpstreamRegistry({
    onInstanceGone: () => goneCount += 1,
  });
  const watcher = new UpstreamWatcher({
    protocol: testProtocol,
    upstreamRegistry,
    isStoreReader: () => isReader,
    onChange: (change) => announced.push(change),
    timer,
    log: createNoopLoggers()("upstream"),
  });
  watcher.start(store);
  await new Promise(setImmediate);
  const ids = () =>
    upstreamRegistry.candidates("s", 0).map((it) => it.entry.id);
  return { watcher, timer, ids };
}

describe("changes of upstreams between fronts", () => {
  it("a reader announces what changed and no heartbeats", async () => {
    await startWatcher();
    store.put(KEY, createEntry({ coldLeftMs: 500 }));
    store.put(KEY, createEntry({ coldLeftMs: 300 }));
    store.put(KEY, createEntry({ isDraining: true }));
    store.delete(KEY);
    expect(announced.map((it) => it.kind)).toEqual(["put", "put", "remove"]);
  });

  it("a front that reads seldom announces nothing", async () => {
    isReader = false;
    await startWatcher();
    store.put(KEY, createEntry());
    expect(announced).toEqual([]);
  });

  // Guards against DRAIN at fronts that read the store seldom.
  it("a sibling's change takes an upstream out of use", async () => {
    store.put(KEY, createEntry());
    const { watcher, ids } = await startWatcher();
    const entry = createEntry({ isDraining: true });
    expect(watcher.applyChange({ kind: "put", entry, revision: 10 }))
      .toEqual(true);
    expect(ids()).toEqual([]);
  });

  it("an older change of a sibling is ignored and not passed on", async () => {
    const { watcher, ids } = await startWatcher();
    watcher.applyChange({ kind: "put", entry: createEntry(), revision: 10 });
    expect(watcher.applyChange({ kind: "remove", id: "u1", revision: 9 }))
      .toEqual(false);
    expect(ids()).toEqual(["u1"]);
  });

  it("a known change is not passed on again", async () => {
    const { watcher } = await startWatcher();
    const change = { kind: "put", entry: createEntry(), revision: 10 } as const;
    expect(watcher.applyChange(change)).toEqual(true);
    expect(watcher.applyChange(change)).toEqual(false);
  });

  it("a front that reads seldom waits for an entry that may have lapsed", async () => {
    store.put(KEY, createEntry());
    isReader = false;
    const { timer, ids } = await startWatcher();
    store.delete(KEY);
    expect(ids()).toEqual(["u1"]);
    store.put(KEY, createEntry());
    timer.advance(MISSING_GRACE_MS);
    expect(ids()).toEqual(["u1"]);
    expect(goneCount).toEqual(0);
  });

  it("a front that reads seldom drops a deleted entry after that", async () => {
    store.put(KEY, createEntry());
    isReader = false;
    const { timer, ids } = await startWatcher();
    store.delete(KEY);
    timer.advance(MISSING_GRACE_MS);
    expect(ids()).toEqual([]);
  });

  it("a front that was out of touch is told the recent changes", async () => {
    const { watcher, timer } = await startWatcher();
    store.put(KEY, createEntry());
    store.delete(KEY);
    expect(watcher.recentChanges().map((it) => it.kind)).toEqual(["remove"]);
    timer.advance(60_000);
    expect(watcher.recentChanges()).toEqual([]);
  });
});
