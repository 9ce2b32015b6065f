import { expect } from "earl";
import { describe, it } from "node:test";
import { type ReceivedNotice, UpstreamNotices } from "../src/mod.ts";
import { createEntry } from "./fixtures.ts";

describe("UpstreamNotices", () => {
  it("reports a limit once, and again when it changes or ends", () => {
    const notices = new UpstreamNotices();
    const record = (at: number, maxRequestsPerS: number | undefined) =>
      notices.record(createNotice({ at, maxRequestsPerS }));
    expect(record(1, 5)).toEqual(["limited"]);
    expect(record(2, 5)).toEqual([]);
    expect(record(3, 2.5)).toEqual(["limited"]);
    expect(record(4, undefined)).toEqual(["unlimited"]);
    expect(notices.maxRequestsPerS(createEntry("u1"))).toEqual(undefined);
  });

  it("ignores a limit that is older than the known one", () => {
    const notices = new UpstreamNotices();
    notices.record(createNotice({ at: 10, maxRequestsPerS: 5 }));
    notices.record(createNotice({ at: 9, maxRequestsPerS: 1 }));
    expect(notices.maxRequestsPerS(createEntry("u1"))).toEqual(5);
  });

  it("keeps an upstream as leaving until its process starts again", () => {
    const notices = new UpstreamNotices();
    notices.record(createNotice({ at: 1, isLeaving: true }));
    notices.record(createNotice({ at: 2 }));
    expect(notices.isLeaving(createEntry("u1"))).toEqual(true);
    expect(notices.isLeaving(createEntry("u1", { startedAt: 7 })))
      .toEqual(false);
    notices.record(createNotice({ at: 3, startedAt: 7 }));
    expect(notices.isLeaving(createEntry("u1", { startedAt: 7 })))
      .toEqual(false);
  });

  it("takes a late notice of leaving, whatever else is newer", () => {
    const notices = new UpstreamNotices();
    notices.record(createNotice({ at: 10, maxRequestsPerS: 5 }));
    notices.record(createNotice({ at: 9, isLeaving: true }));
    expect(notices.isLeaving(createEntry("u1"))).toEqual(true);
    expect(notices.maxRequestsPerS(createEntry("u1"))).toEqual(5);
  });

  it("lists as news what was limited or leaving, also its end", () => {
    const notices = new UpstreamNotices();
    notices.record(createNotice({ upstream: "plain", at: 1 }));
    notices.record(createNotice({ at: 1, maxRequestsPerS: 5 }));
    notices.record(createNotice({ at: 2 }));
    expect(notices.newsSince(2).map((it) => it.upstream)).toEqual(["u1"]);
    expect(notices.newsSince(3)).toEqual([]);
  });

  it("drops notices of upstreams that were not heard for long", () => {
    const notices = new UpstreamNotices();
    notices.record(createNotice({ at: 0, maxRequestsPerS: 5 }));
    notices.sweep(600_001);
    expect(notices.newsSince(0)).toEqual([]);
  });
});

function createNotice(opts: Partial<ReceivedNotice>): ReceivedNotice {
  return {
    upstream: "u1",
    startedAt: 0,
    maxRequestsPerS: undefined,
    isLeaving: false,
    at: 0,
    ...opts,
  };
}
