import { createNoopLoggers } from "@toucantrestle/log";
import { UpstreamNotices } from "@toucantrestle/routing";
import { createManualTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { after, before, beforeEach, describe, it } from "node:test";
import { NoticeReader } from "../src/notice_reader.ts";
import { TestCluster } from "./test_cluster.ts";
import { testProtocol } from "./test_protocol.ts";

/** Time in which fronts pass news to each other. */
const NEWS_MS = 600;

/** Makes calls overlap, so that one upstream does not get them all. */
const RESPONSE_DELAY_MS = 30;
const OVERLAPPING_CALLS = 40;

const cluster = new TestCluster();
let nextId = 0;
/** Upstreams that say in each response that they are leaving. */
let leaving: Set<string>;

before(async () => {
  cluster.configure([
    { prefix: "/x/" },
    { prefix: "/warm/", services: [{ service: "w", weight: 1 }] },
    { prefix: "/failing/", services: [{ service: "f", weight: 1 }] },
  ]);
  leaving = new Set();
  for (const id of ["a", "b", "warm"]) {
    await cluster.addUpstream(id, (_received, res) => {
      if (leaving.has(id)) res.setHeader("x-leaving", "1");
      setTimeout(() => res.end("done"), RESPONSE_DELAY_MS);
    }, { service: id === "warm" ? "w" : "s" });
  }
  await cluster.addUpstream("failing", (_received, res) => {
    res.removeHeader("x-mark");
    res.writeHead(500, { "x-leaving": "1" }).end("failed");
  }, { service: "f" });
  await cluster.addFront();
  await cluster.addFront();
  await cluster.waitUntilReady("/warm/x");
});

after(() => cluster.close());

beforeEach(() => {
  leaving = new Set();
});

/** Makes overlapping calls to a front; returns the upstreams that ran them. */
async function callMany(front: number): Promise<string[]> {
  const calls = Array.from({ length: OVERLAPPING_CALLS }, () => {
    const headers = { "x-id": `leaving-${nextId++}` };
    return cluster.call("/x/1", { front, headers });
  });
  const results = await Promise.all(calls);
  expect(results.every((it) => it.status === 200)).toEqual(true);
  return [...new Set(results.map((it) => String(it.headers["x-mark"])))].sort();
}

function putEntry(id: string, startedAt: number): void {
  const key = `upstreams/${id}`;
  const entry = cluster.entryOf(id);
  cluster.store.put(key, { ...entry, startedAt });
}

describe("upstream that says that it is leaving", () => {
  // Guards against DRAIN: a request reaches an upstream that had said so.
  it("gets no further calls, though the store knows nothing of it", async () => {
    leaving.add("a");
    expect(await callMany(0)).toEqual(["a", "b"]);
    expect(await callMany(0)).toEqual(["b"]);
  });

  it("is avoided by the other fronts too", async () => {
    await new Promise((resolve) => setTimeout(resolve, NEWS_MS));
    expect(await callMany(1)).toEqual(["b"]);
  });

  it("stays so when its entry is written again or comes back", async () => {
    putEntry("a", 0);
    expect(await callMany(0)).toEqual(["b"]);
    cluster.store.delete("upstreams/a");
    await new Promise((resolve) => setTimeout(resolve, NEWS_MS));
    putEntry("a", 0);
    await new Promise((resolve) => setTimeout(resolve, NEWS_MS));
    expect(await callMany(0)).toEqual(["b"]);
  });

  it("is used again after it has started anew", async () => {
    putEntry("a", 1_000);
    await new Promise((resolve) => setTimeout(resolve, NEWS_MS));
    expect(await callMany(0)).toEqual(["a", "b"]);
    expect(await callMany(1)).toEqual(["a", "b"]);
  });

  // Guards against DRAIN: a failure without the upstream's mark was passed on,
  // and what it said was not heeded.
  it("gets no further calls after a failure without its mark", async () => {
    const statuses: number[] = [];
    for (const id of ["failing-1", "failing-2"]) {
      const headers = { "x-id": id };
      statuses.push((await cluster.call("/failing/x", { headers })).status);
    }
    expect(statuses).toEqual([500, 503]);
  });
});

describe("a front that is linked anew", () => {
  // Guards against DRAIN: a front that starts was told of the last 10 s only,
  // while an upstream that leaves may go on for long.
  it("is told which upstreams said that they are leaving", () => {
    const timer = createManualTimer();
    const reader = new NoticeReader({
      protocol: testProtocol,
      notices: new UpstreamNotices(),
      timer,
      onNews: () => {},
      log: createNoopLoggers()("upstream"),
    });
    reader.merge({
      upstream: "a",
      startedAt: 0,
      isLeaving: true,
      maxRequestsPerS: undefined,
      ageMs: 0,
    });
    timer.advance(30_000);
    expect(reader.recentNews().map((it) => it.upstream)).toEqual(["a"]);
  });
});
