import { MemoryStore } from "@toucantrestle/config_store";
import { createNoopLoggers } from "@toucantrestle/log";
import { createNoopMetrics } from "@toucantrestle/metrics";
import {
  type UpstreamEntry,
  UpstreamNotices,
  UpstreamRegistry,
} from "@toucantrestle/routing";
import { createManualTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { after, before, describe, it } from "node:test";
import { Collectors } from "../src/collectors.ts";
import { RequestPermits } from "../src/request_permits.ts";
import { type RelayPart, serveRelayedExchange } from "../src/exchange_relay.ts";
import { createOrigin, runsSameSoftware } from "../src/stream_origin.ts";
import { currentHints } from "../src/turn_hints.ts";
import { UpstreamContact } from "../src/upstream_contact.ts";
import { UpstreamWatcher } from "../src/upstream_watcher.ts";
import { TestCluster } from "./test_cluster.ts";
import { testProtocol } from "./test_protocol.ts";

const log = createNoopLoggers()("upstream");

function createEntry(startedAt: number, softwareVersion?: string) {
  const entry: UpstreamEntry = {
    id: "u1",
    service: "s",
    address: "10.0.0.1:80",
    dataCentre: "a",
    slots: 1,
    isDraining: false,
    coldLeftMs: 0,
    softwareVersion,
    startedAt,
  };
  return entry;
}

function createWatcher() {
  const timer = createManualTimer();
  const registry = new UpstreamRegistry({ onInstanceGone: () => {} });
  const watcher = new UpstreamWatcher({
    protocol: testProtocol,
    upstreamRegistry: registry,
    isStoreReader: () => true,
    onChange: () => {},
    timer,
    log,
  });
  const store = new MemoryStore();
  store.isUnavailable = true;
  return { registry, watcher };
}

// Guards against what one process did counting for the next one.
describe("the parts of a front, when an upstream restarts", () => {
  it("resume a stream without a version at the same process only", () => {
    const origin = createOrigin(createEntry(5), 1);
    expect(runsSameSoftware(createEntry(5), origin)).toEqual(true);
    expect(runsSameSoftware(createEntry(9), origin)).toEqual(false);
    const versioned = createOrigin(createEntry(5, "v1"), 1);
    expect(runsSameSoftware(createEntry(9, "v1"), versioned)).toEqual(true);
  });

  it("give a new process its own permits and no denial", async () => {
    const timer = createManualTimer();
    const notices = new UpstreamNotices();
    const permits = new RequestPermits({
      self: "f1",
      timer,
      notices,
      collectors: new Collectors({
        self: "f1",
        timer,
        siblings: { connectedHosts: [] },
      }),
      share: { connected: 1, own: 1 },
      links: { queryPermit: () => Promise.reject(new Error("no sibling")) },
      log,
    });
    const limit = (startedAt: number, maxRequestsPerS: number) =>
      notices.record({
        upstream: "u1",
        startedAt,
        at: timer.monotonicNow(),
        isLeaving: false,
        maxRequestsPerS,
      });
    const request = { kind: "new", weight: 1 } as const;
    limit(5, 100);
    await permits.ask(createEntry(5), request);
    timer.advance(1_000);
    limit(9, 100);
    // Tokens that the previous process had left are not the new one's.
    expect(await permits.ask(createEntry(9), request)).toEqual(false);
    expect(permits.waitMs(createEntry(9), 1)).toBeGreaterThan(0);
    timer.advance(10);
    // A sibling that has not heard of the new process uses the same tokens.
    expect(await permits.ask(createEntry(5), request)).toEqual(true);
    expect(await permits.ask(createEntry(9), request)).toEqual(false);
    limit(12, 100);
    expect(permits.waitMs(createEntry(12), 1)).toEqual(0);
  });

  it("ignore hints of a previous process", () => {
    const { registry, watcher } = createWatcher();
    watcher.mergeFromSibling({ entries: [createEntry(9)] });
    const [old, current] = [5, 9].map((startedAt) => ({
      parts: [{ id: "p", tokens: 1 }],
      upstream: "u1",
      startedAt,
    })) as [never, never];
    expect(currentHints([old, current], registry)).toEqual([current]);
  });

  // Guards against a stream that other software continues, through a relay.
  it("refuse to relay a request for another process", () => {
    const { registry, watcher } = createWatcher();
    watcher.mergeFromSibling({ entries: [createEntry(9)] });
    const relayTo = (startedAt: number | undefined) => {
      const parts: RelayPart[] = [];
      let sent = 0;
      serveRelayedExchange(
        { upstream: "u1", ...(startedAt && { startedAt }), req: {} as never },
        {
          send: (part: RelayPart) => parts.push(part),
          end() {},
          bufferedBytes: 0,
        } as never,
        {
          upstreamRegistry: registry,
          pools: { poolOf: () => ({ send: () => sent += 1 }) } as never,
          noticeReader: {} as never,
          canReachUpstreams: () => true,
          runLeftMs: () => Infinity,
          timer: createManualTimer(),
        },
      );
      return [sent, ...parts.map((it) => it.kind)];
    };
    expect(relayTo(5)).toEqual([0, "failure"]);
    expect(relayTo(9)).toEqual([1]);
    expect(relayTo(undefined)).toEqual([1]);
  });

  it("do not count failed connections to a previous process", () => {
    const timer = createManualTimer();
    const metrics = createNoopMetrics();
    const contact = new UpstreamContact({ timer, metrics });
    const listener = contact.listenerOf("u1");
    listener.onConnectFailed();
    contact.remove("u1");
    expect(contact.failedCount).toEqual(0);
    contact.listenerOf("u1");
    listener.onConnectFailed();
    expect(contact.failedCount).toEqual(0);
  });

  it("do not pass on an entry of a previous process", () => {
    const { registry, watcher } = createWatcher();
    const put = (startedAt: number, revision: number) =>
      watcher.applyChange({
        kind: "put",
        entry: createEntry(startedAt),
        revision,
      });
    expect(put(9, 10)).toEqual(true);
    expect(put(5, 11)).toEqual(false);
    expect(registry.isCurrent({ id: "u1", startedAt: 9 })).toEqual(true);
  });

  it("do not take a removed process back from a sibling", () => {
    const { registry, watcher } = createWatcher();
    const list = { entries: [createEntry(5)], revisions: [10] };
    watcher.mergeFromSibling(list);
    expect(registry.isCurrent({ id: "u1", startedAt: 5 })).toEqual(true);
    expect(watcher.list()).toEqual(list);
    watcher.applyChange({ kind: "remove", id: "u1", revision: 12 });
    watcher.mergeFromSibling(list);
    expect(registry.get("u1")).toEqual(undefined);
    watcher.mergeFromSibling({ entries: [createEntry(9)], revisions: [13] });
    expect(registry.isCurrent({ id: "u1", startedAt: 9 })).toEqual(true);
  });
});

describe("a front, when an upstream restarts", () => {
  const cluster = new TestCluster();
  const sockets = new Set<unknown>();
  let openConnections = 0;

  before(async () => {
    cluster.configure([{ prefix: "/plain/" }]);
    await cluster.addTurnStores(3);
    await cluster.addUpstream("u1", (_received, res) => {
      const { socket } = res.req;
      if (!sockets.has(socket)) {
        openConnections += 1;
        socket.on("close", () => openConnections -= 1);
      }
      sockets.add(socket);
      res.end("fine");
    }, { startedAt: 5 });
    await cluster.addFront();
    await cluster.waitUntilReady("/plain/x");
  });

  after(() => cluster.close());

  // Guards against connections that outlive their process.
  it("closes the connections to the previous process", async () => {
    await cluster.call("/plain/a", { headers: { "x-id": "a" } });
    expect(openConnections).toEqual(1);
    const entry = { ...cluster.entryOf("u1"), startedAt: 9 };
    cluster.store.put("upstreams/u1", entry);
    for (let i = 0; i < 50 && openConnections > 0; i++) {
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    expect(openConnections).toEqual(0);
    const { status } = await cluster.call("/plain/b", {
      headers: { "x-id": "b" },
    });
    expect([status, sockets.size]).toEqual([200, 2]);
  });
});
