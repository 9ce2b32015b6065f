import { MemoryStore } from "@toucantrestle/config_store";
import { createSilentLoggers } from "@toucantrestle/log";
import { UpstreamBook, type UpstreamEntry } from "@toucantrestle/routing";
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
let book: UpstreamBook;

function createEntry(id: string): UpstreamEntry {
  return {
    id,
    service: "s",
    address: "10.0.0.1:80",
    dataCentre: "a",
    slots: 1,
    isDraining: false,
    coldLeftMs: 0,
    startedAt: 0,
  };
}

function ids(): string[] {
  return book.candidates("s", timer.steady()).map((it) => it.entry.id);
}

async function pause(ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms));
}

beforeEach(async () => {
  timer = createTimerScope(createSystemTimer());
  store = new MemoryStore();
  book = new UpstreamBook({ onGone: () => {} });
  store.put("upstreams/u1", createEntry("u1"));
  store.put("upstreams/u2", createEntry("u2"));
  new UpstreamWatcher({
    protocol: testProtocol,
    book,
    timer,
    log: createSilentLoggers()("upstream"),
  }).start(store);
  await pause(20);
});

afterEach(() => timer.end());

describe("the list of upstreams", () => {
  it("keeps what lapsed in an outage until it had time to come back", async () => {
    store.cut();
    await pause(2_300);
    store.isAway = false;
    await pause(1_000);
    store.put("upstreams/u3", createEntry("u3"));
    store.delete("upstreams/u1");
    store.delete("upstreams/u2");
    expect(ids()).toEqual(["u1", "u2", "u3"]);
    store.put("upstreams/u2", createEntry("u2"));
    await pause(2_400);
    expect(ids()).toEqual(["u2", "u3"]);
  });

  it("drops what leaves while the store answers, also right after the start", () => {
    store.delete("upstreams/u1");
    expect(ids()).toEqual(["u2"]);
  });

  it("drops what leaves right after a short loss of the store", async () => {
    store.cut();
    await pause(20);
    store.isAway = false;
    await pause(800);
    store.put("upstreams/u3", createEntry("u3"));
    store.delete("upstreams/u1");
    expect(ids()).toEqual(["u2", "u3"]);
  });
});
