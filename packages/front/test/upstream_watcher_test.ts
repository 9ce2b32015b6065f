import { MemoryStore } from "@toucantrestle/config_store";
import { createNoopLoggers } from "@toucantrestle/log";
import { type UpstreamEntry, UpstreamRegistry } from "@toucantrestle/routing";
import {
  createSystemTimer,
  createTimerScope,
  type TimerScope,
} from "@toucantrestle/timer";
import { expect } from "earl";
import { afterEach, beforeEach, describe, it } from "node:test";
import { UpstreamWatcher } from "../src/upstream_watcher.ts";
import { testProtocol } from "./test_protocol.ts";

let timer: TimerScope;
let store: MemoryStore;
let upstreamRegistry: UpstreamRegistry;

function createEntry(id: string): UpstreamEntry {
  return {
    id,
    service: "s",
    address: "10.0.0.1:80",
    dataCentre: "a",
    slots: 1,
    isDraining: false,
    coldLeftMs: 0,
    softwareVersion: "v1",
    startedAt: 0,
  };
}

function candidateIds(): string[] {
  return upstreamRegistry.candidates("s", timer.monotonicNow()).map((it) =>
    it.entry.id
  );
}

async function pause(ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms));
}

beforeEach(async () => {
  timer = createTimerScope(createSystemTimer());
  store = new MemoryStore();
  upstreamRegistry = new UpstreamRegistry({ onInstanceGone: () => {} });
  store.put("upstreams/u1", createEntry("u1"));
  store.put("upstreams/u2", createEntry("u2"));
  new UpstreamWatcher({
    protocol: testProtocol,
    upstreamRegistry,
    isStoreReader: () => true,
    onChange: () => {},
    timer,
    log: createNoopLoggers()("upstream"),
  }).start(store);
  await pause(20);
});

afterEach(() => timer.end());

describe("UpstreamWatcher", () => {
  it("keeps entries that expired in an outage until they had time to return", async () => {
    store.startOutage();
    await pause(2_300);
    store.isUnavailable = false;
    await pause(1_000);
    store.put("upstreams/u3", createEntry("u3"));
    store.delete("upstreams/u1");
    store.delete("upstreams/u2");
    expect(candidateIds()).toEqual(["u1", "u2", "u3"]);
    store.put("upstreams/u2", createEntry("u2"));
    await pause(2_400);
    expect(candidateIds()).toEqual(["u2", "u3"]);
  });

  // Guards against DRAIN: an upstream that left got requests for too long.
  it("counts the time to return from the end of the outage", async () => {
    store.startOutage();
    await pause(2_300);
    store.isUnavailable = false;
    await pause(1_000);
    store.put("upstreams/u3", createEntry("u3"));
    await pause(1_700);
    store.delete("upstreams/u1");
    await pause(1_200);
    expect(candidateIds()).toEqual(["u2", "u3"]);
  });

  it("drops a deleted entry at once, even right after the start", () => {
    store.delete("upstreams/u1");
    expect(candidateIds()).toEqual(["u2"]);
  });

  it("drops an entry that is deleted right after a short store outage", async () => {
    store.startOutage();
    await pause(20);
    store.isUnavailable = false;
    await pause(800);
    store.put("upstreams/u3", createEntry("u3"));
    store.delete("upstreams/u1");
    expect(candidateIds()).toEqual(["u2", "u3"]);
  });
});
