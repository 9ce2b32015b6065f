import { MemoryStore } from "@toucantrestle/config_store";
import type { Logger } from "@toucantrestle/log";
import { type UpstreamEntry, UpstreamRegistry } from "@toucantrestle/routing";
import { createManualTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import type { ServerResponse } from "node:http";
import { after, before, describe, it } from "node:test";
import type { UpstreamChange } from "../src/protocol.ts";
import { UpstreamWatcher } from "../src/upstream_watcher.ts";
import { TestCluster } from "./test_cluster.ts";
import { testProtocol } from "./test_protocol.ts";

const INVALID = null;
const GRACE_MS = 2_400;

function createEntry(id: string, opts: Partial<UpstreamEntry> = {}) {
  const entry: UpstreamEntry = {
    id,
    service: "s",
    address: "10.0.0.1:80",
    dataCentre: "a",
    slots: 1,
    isDraining: false,
    coldLeftMs: 0,
    softwareVersion: "v1",
    startedAt: 5,
    ...opts,
  };
  return entry;
}

async function startWatcher(opts: Partial<UpstreamEntry> = {}) {
  const store = new MemoryStore();
  store.put("upstreams/u1", createEntry("u1", opts));
  store.put("upstreams/u2", createEntry("u2", opts));
  const timer = createManualTimer();
  const announced: UpstreamChange[] = [];
  const gone: string[] = [];
  const lines: string[] = [];
  const write = (text: string) => void lines.push(text);
  const upstreamRegistry = new UpstreamRegistry({
    onInstanceGone: (id) => gone.push(id),
  });
  const watcher = new UpstreamWatcher({
    protocol: testProtocol,
    upstreamRegistry,
    isStoreReader: () => true,
    onChange: (change) => announced.push(change),
    timer,
    log: { debug() {}, info: write, warn: write, error: write } as Logger,
  });
  watcher.start(store);
  await new Promise(setImmediate);
  lines.length = 0;
  const ids = () =>
    upstreamRegistry.candidates("s", 0).map((it) => it.entry.id);
  return { store, timer, watcher, announced, gone, lines, ids };
}

describe("an entry without a start time", () => {
  it("is invalid if other upstreams state theirs", async () => {
    const { store, ids } = await startWatcher();
    store.put("upstreams/u3", createEntry("u3", { startedAt: 0 }));
    expect(ids()).toEqual(["u1", "u2"]);
  });

  // Guards against refusing all upstreams of deployments without start times.
  it("is used if no upstream states any", async () => {
    const { store, ids } = await startWatcher({ startedAt: 0 });
    store.put("upstreams/u3", createEntry("u3", { startedAt: 0 }));
    expect(ids()).toEqual(["u1", "u2", "u3"]);
  });
});

// Guards against an entry of another writer that removes an upstream.
describe("an entry that is replaced by an invalid one", () => {
  it("offers its upstream no new requests and does not remove it", async () => {
    const { store, timer, announced, gone, ids } = await startWatcher();
    store.put("upstreams/u1", INVALID);
    expect(ids()).toEqual(["u2"]);
    timer.advance(GRACE_MS);
    expect(gone).toEqual([]);
    expect(announced.map((it) => it.kind)).toEqual(["suspend"]);
    store.put("upstreams/u1", createEntry("u1", { startedAt: 4 }));
    expect(ids()).toEqual(["u2"]);
    store.put("upstreams/u1", createEntry("u1"));
    expect(ids()).toEqual(["u1", "u2"]);
    expect(announced.map((it) => it.kind)).toEqual(["suspend", "put"]);
  });

  it("is still removed by a deletion", async () => {
    const { store, gone } = await startWatcher();
    store.put("upstreams/u1", INVALID);
    store.delete("upstreams/u1");
    expect(gone).toEqual(["u1"]);
  });

  it("is known from a snapshot too", async () => {
    const { store, timer, gone, ids } = await startWatcher();
    store.compact(() => store.put("upstreams/u1", INVALID));
    for (let i = 0; i < 5; i++) {
      timer.advance(1_000);
      await new Promise(setImmediate);
    }
    expect(ids()).toEqual(["u2"]);
    expect(gone).toEqual([]);
  });

  it("is known from siblings, and from no earlier change of theirs", async () => {
    const { watcher, ids, gone } = await startWatcher();
    const suspend = { kind: "suspend", id: "u1", revision: 90 } as const;
    expect(watcher.applyChange(suspend)).toEqual(true);
    const entry = createEntry("u1");
    expect(watcher.applyChange({ kind: "put", entry, revision: 80 }))
      .toEqual(false);
    expect(ids()).toEqual(["u2"]);
    expect(gone).toEqual([]);
    expect(watcher.list().entries.map((it) => it.id)).toEqual(["u2"]);
  });

  it("is logged once in 10 s", async () => {
    const { store, timer, lines } = await startWatcher();
    for (let i = 0; i < 20; i++) {
      store.put("upstreams/u1", i % 2 === 0 ? INVALID : createEntry("u1"));
      timer.advance(1_000);
    }
    expect(lines.length).toEqual(2);
  });

  it("is not taken from a sibling that accepts more", async () => {
    const { watcher, ids } = await startWatcher();
    const entry = createEntry("u3", { address: "999.1:80" });
    expect(watcher.applyChange({ kind: "put", entry, revision: 90 }))
      .toEqual(false);
    expect(ids()).toEqual(["u1", "u2"]);
  });
});

describe("a request at an upstream whose entry becomes invalid", () => {
  const cluster = new TestCluster();
  let pending: ServerResponse | undefined;

  before(async () => {
    cluster.configure([{ prefix: "/plain/", kind: "non_idempotent" }]);
    await cluster.addTurnStores(3);
    await cluster.addUpstream("u1", (received, res) => {
      if (received.path === "/plain/x") res.end("ready");
      else pending = res;
    });
    await cluster.addFront();
    await cluster.waitUntilReady("/plain/x");
  });

  after(() => cluster.close());

  it("is answered, and no new one is sent there", async () => {
    const first = cluster.call("/plain/a", { headers: { "x-id": "a" } });
    for (let i = 0; i < 100 && !pending; i++) {
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    cluster.store.put("upstreams/u1", INVALID);
    const second = await cluster.call("/plain/b", { headers: { "x-id": "b" } });
    pending?.end("done");
    expect([second.status, (await first).status]).toEqual([503, 200]);
  });
});
