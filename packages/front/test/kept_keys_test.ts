import { processMemory } from "@toucantrestle/memory";
import { PrefixIndex, UpstreamNotices } from "@toucantrestle/routing";
import { createManualTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { describe, it } from "node:test";
import { RecentChanges } from "../src/recent_changes.ts";
import { RecentPrograms } from "../src/recent_programs.ts";
import { UpstreamRevisions } from "../src/upstream_revisions.ts";

/** What is kept for the keys of all callers may use this much, in bytes. */
const MAX_KEPT_BYTES = 20_000_000;
/** Size of a header that a caller may send, in characters. */
const HEADER_LENGTH = 16_000;

/** Returns how much the heap grows, without garbage, in bytes. */
function growthOf(work: () => void): number {
  processMemory.collectGarbage();
  const before = processMemory.heap().heapBytes;
  work();
  processMemory.collectGarbage();
  return processMemory.heap().heapBytes - before;
}

/** A header as it is read: a text of its own. */
function createHeader(start: string): string {
  return Buffer.alloc(HEADER_LENGTH, start).toString("latin1");
}

describe("what a front keeps of callers' headers", () => {
  // Guards against a table of few entries with keys of 16 KB each.
  it("is small for programs with long ids", () => {
    const programs = new RecentPrograms();
    const growth = growthOf(() => {
      for (let i = 0; i < 5_000; i++) programs.add(createHeader(`p${i}`), 0);
    });
    expect(growth < MAX_KEPT_BYTES).toEqual(true);
    expect(programs.has(createHeader("p4999"), 1)).toEqual(true);
    expect(programs.has(createHeader("p5000"), 1)).toEqual(false);
  });

  // Guards against an id that keeps the header it was cut from.
  it("is small for prompt parts of long headers", () => {
    const index = new PrefixIndex();
    const growth = growthOf(() => {
      for (let i = 0; i < 5_000; i++) {
        const header = createHeader(`part-of-a-prompt-${i}:7,`);
        const id = header.slice(0, header.indexOf(":"));
        index.recordPrefill("u", [{ id, tokens: 7 }]);
      }
    });
    expect(growth < MAX_KEPT_BYTES).toEqual(true);
    const parts = [{ id: "part-of-a-prompt-4999", tokens: 7 }];
    expect(index.cachedTokens("u", parts)).toEqual(7);
  });

  it("is small for prompt parts with long ids", () => {
    const index = new PrefixIndex();
    const growth = growthOf(() => {
      for (let i = 0; i < 5_000; i++) {
        const id = createHeader(`part-${i}-`);
        index.recordPrefill("u", [{ id, tokens: 7 }]);
      }
    });
    expect(growth < MAX_KEPT_BYTES).toEqual(true);
  });
});

describe("what a front keeps of upstreams that siblings name", () => {
  // Guards against tables that grow with each id that is ever heard.
  it("has a bound", () => {
    const revisions = new UpstreamRevisions();
    const changes = new RecentChanges(createManualTimer());
    const notices = new UpstreamNotices();
    for (let i = 1; i <= 20_100; i++) {
      const id = `u${i}`;
      revisions.recordEntry(id, i);
      const change = { kind: "remove", id, revision: i } as const;
      changes.add(change);
      changes.share(change);
      notices.record({
        upstream: id,
        startedAt: 1,
        maxRequestsPerS: 1,
        isLeaving: false,
        at: 0,
      });
    }
    const keptCounts = [changes.all().length, notices.newsSince(0).length];
    expect(keptCounts).toEqual([20_000, 20_000]);
    expect([revisions.newest("u1"), revisions.newest("u20100")])
      .toEqual([0, 20_100]);
  });
});
