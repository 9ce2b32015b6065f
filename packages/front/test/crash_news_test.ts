import { createNoopLoggers } from "@toucantrestle/log";
import { Gossip } from "@toucantrestle/overlay";
import { CrashTracker } from "@toucantrestle/routing";
import { createManualTimer, type ManualTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { describe, it } from "node:test";
import type { CrashNews, FrontNews } from "../src/protocol.ts";
import { FleetNews } from "../src/siblings/fleet_news.ts";

/** A crash counts for this long. */
const RETENTION_MS = 120_000;
/** News reach the neighbours of a front within this time. */
const NEWS_MS = 1_000;

/** The news of one front, which knows nothing but crashes. */
function createNews(timer: ManualTimer) {
  const crashTracker = new CrashTracker();
  const news = new FleetNews({
    configWatcher: { config: undefined } as never,
    noticeReader: { recentNews: () => [] } as never,
    upstreamWatcher: { recentChanges: () => [] } as never,
    crashTracker,
    timer,
    onNewerConfig: () => {},
    log: createNoopLoggers()("sibling"),
  });
  return { crashTracker, news };
}

interface ModelFront {
  crashTracker: CrashTracker;
  gossip: Gossip<string, FrontNews>;
}

/** Fronts in a row, each a neighbour of the next one. */
function createRow(hosts: string[], timer: ManualTimer) {
  const fronts = new Map<string, ModelFront>();
  for (const self of hosts) {
    const { crashTracker, news } = createNews(timer);
    const gossip = new Gossip<string, FrontNews>({
      self,
      timer,
      state: () => "ready",
      send: (host, message) => fronts.get(host)?.gossip.receive(self, message),
      applyNews: (it, from) => news.apply(it, from),
      recentNews: () => news.recent(),
    });
    fronts.set(self, { crashTracker, gossip });
  }
  hosts.forEach((host, i) => {
    const near = [hosts[i - 1], hosts[i + 1]].filter((it) => it !== undefined);
    frontOf(host).gossip.start();
    frontOf(host).gossip.setNeighbours(new Set(near));
  });
  function frontOf(host: string) {
    const front = fronts.get(host);
    if (!front) throw new Error(`no front ${host}`);
    return front;
  }
  return {
    link(a: string, b: string) {
      frontOf(a).gossip.openLink(b);
      frontOf(b).gossip.openLink(a);
    },
    cut(a: string, b: string) {
      frontOf(a).gossip.closeLink(b);
      frontOf(b).gossip.closeLink(a);
    },
    crash(host: string, upstream: string) {
      const { crashTracker, gossip } = frontOf(host);
      const report = { fingerprint: "f", upstream, ageMs: 0 };
      crashTracker.recordCrash(report, timer.monotonicNow());
      gossip.publish({ kind: "crash", ...report });
    },
    succeed(host: string) {
      const { crashTracker, gossip } = frontOf(host);
      const report = { fingerprint: "f", ageMs: 0 };
      crashTracker.recordSuccess(report, timer.monotonicNow());
      gossip.publish({ kind: "success", ...report });
    },
    refuses: (host: string) =>
      frontOf(host).crashTracker.isQuarantined("f", timer.monotonicNow()),
  };
}

// Guards against fronts that missed a conviction and run the request again.
describe("crashes that a front has missed", () => {
  it("are known as soon as it is linked again, to all behind it too", () => {
    const timer = createManualTimer();
    const row = createRow(["a", "b", "c"], timer);
    row.link("a", "b");
    row.link("b", "c");
    timer.advance(NEWS_MS);
    row.cut("a", "b");
    for (const upstream of ["u1", "u2", "u3"]) row.crash("a", upstream);
    timer.advance(60_000);
    expect(row.refuses("c")).toEqual(false);
    row.link("a", "b");
    timer.advance(NEWS_MS);
    expect(["a", "b", "c"].map(row.refuses)).toEqual([true, true, true]);
  });

  it("expire everywhere when they are old, however often handed over", () => {
    const timer = createManualTimer();
    const row = createRow(["a", "b"], timer);
    for (const upstream of ["u1", "u2", "u3"]) row.crash("a", upstream);
    for (let i = 0; i < 5; i++) {
      row.link("a", "b");
      timer.advance(20_000);
      expect(row.refuses("b")).toEqual(true);
      row.cut("a", "b");
    }
    timer.advance(RETENTION_MS - 100_000 + NEWS_MS);
    row.link("a", "b");
    timer.advance(NEWS_MS);
    expect(["a", "b"].map(row.refuses)).toEqual([false, false]);
  });
});

// Guards against convictions that come back from a front that missed a success.
describe("a success that a front has missed", () => {
  it("is known as soon as it is linked again, and its crashes count no more", () => {
    const timer = createManualTimer();
    const row = createRow(["a", "b"], timer);
    for (const upstream of ["u1", "u2", "u3"]) row.crash("a", upstream);
    row.link("a", "b");
    timer.advance(NEWS_MS);
    row.cut("a", "b");
    row.succeed("b");
    timer.advance(60_000);
    expect(["a", "b"].map(row.refuses)).toEqual([true, false]);
    row.link("a", "b");
    timer.advance(NEWS_MS);
    expect(["a", "b"].map(row.refuses)).toEqual([false, false]);
  });
});

describe("the news of a crash", () => {
  function apply(all: object[]) {
    const timer = createManualTimer();
    const { crashTracker, news } = createNews(timer);
    const results = all.map((it) =>
      news.apply({ kind: "crash", ...it } as CrashNews, "front-1")
    );
    return { crashTracker, news, results, timer };
  }

  // Guards against a change of builds that forgets or misses convictions.
  it("count from their arrival if an earlier build sends no age", () => {
    const reports = ["u1", "u2", "u3"]
      .map((upstream) => ({ fingerprint: "f", upstream }));
    const { crashTracker, results, timer } = apply(reports);
    expect(results).toEqual([true, true, true]);
    timer.advance(RETENTION_MS);
    const now = timer.monotonicNow();
    expect(crashTracker.isQuarantined("f", now)).toEqual(true);
    expect(crashTracker.isQuarantined("f", now + 1)).toEqual(false);
  });

  it("have all that an earlier build reads", () => {
    const { news } = apply([{ fingerprint: "f", upstream: "u1", ageMs: 5 }]);
    expect(news.recent().filter((it) => it.kind === "crash")).toEqual([
      { kind: "crash", fingerprint: "f", upstream: "u1", ageMs: 5 },
    ]);
  });

  it("are ignored if they are malformed", () => {
    const { crashTracker, results } = apply([
      { fingerprint: "f" },
      { fingerprint: 1, upstream: "u1" },
      { fingerprint: "f", upstream: "u".repeat(10_000) },
      { fingerprint: "f", upstream: "u1", ageMs: -1 },
      { fingerprint: "f", upstream: "u1", ageMs: Infinity },
      { fingerprint: "f", upstream: "u1", ageMs: "5" },
    ]);
    expect(results).toEqual([false, false, false, false, false, false]);
    const successes = apply([
      { kind: "success", fingerprint: 1, ageMs: 0 },
      { kind: "success", fingerprint: "f" },
      { kind: "success", fingerprint: "f", ageMs: -1 },
    ]);
    expect(successes.results).toEqual([false, false, false]);
    for (const it of [crashTracker, successes.crashTracker]) {
      expect(it.isEmpty).toEqual(true);
    }
  });
});
