import { createNoopLoggers } from "@toucantrestle/log";
import { type UpstreamEntry, UpstreamNotices } from "@toucantrestle/routing";
import { createManualTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { describe, it } from "node:test";
import type { Collectors } from "../src/collectors.ts";
import { NoticeReader } from "../src/notice_reader.ts";
import { RequestPermits } from "../src/request_permits.ts";
import type { SharedNotice } from "../src/shared_notice.ts";
import { testProtocol } from "./test_protocol.ts";

const log = createNoopLoggers()("test");
const ENTRY: UpstreamEntry = {
  id: "u1",
  service: "s",
  address: "127.0.0.1:80",
  dataCentre: "north",
  softwareVersion: "v1",
  slots: 4,
  isDraining: false,
  coldLeftMs: 0,
  startedAt: 5,
};
const NOTICE: SharedNotice = {
  upstream: "u1",
  startedAt: 5,
  ageMs: 0,
  maxRequestsPerS: 10,
  isLeaving: false,
};
const ODD_NUMBERS = [NaN, -1, Infinity, 2n ** 63n, "9", null, [], {}];
/** Longest time for which a denial of a permit may hold, in ms. */
const MAX_DENIAL_MS = 1_000;

function withField(name: keyof SharedNotice, value: unknown): SharedNotice {
  return { ...NOTICE, [name]: value } as SharedNotice;
}

/** Permits of a front whose collector answers with `waitMs`. */
function createPermits(waitMs: unknown) {
  const timer = createManualTimer(1_000);
  const notices = new UpstreamNotices();
  const { ageMs: _, ...notice } = NOTICE;
  notices.record({ ...notice, at: 1_000 });
  const reply = { waitMs: waitMs as number, notice: undefined };
  const permits = new RequestPermits({
    self: "front-1",
    timer,
    notices,
    collectors: { of: () => "front-2" } as unknown as Collectors,
    share: { connected: 1, own: 0.5 },
    links: { queryPermit: () => Promise.resolve(reply) },
    log,
  });
  return { timer, permits };
}

describe("odd numbers in messages of siblings", () => {
  // Guards against a limit that each request to an upstream fails by.
  it("make a notice none that is heeded", () => {
    for (const odd of ODD_NUMBERS) {
      const notices = new UpstreamNotices();
      const timer = createManualTimer();
      const reader = new NoticeReader({
        protocol: testProtocol,
        notices,
        timer,
        onNews: () => {},
        log,
      });
      for (const name of ["maxRequestsPerS", "startedAt", "ageMs"] as const) {
        const isNone = name === "maxRequestsPerS" && odd === null;
        if (!isNone) {
          expect(reader.merge(withField(name, odd))).toEqual(false);
        }
      }
      expect(notices.get(ENTRY)).toEqual(undefined);
      expect(reader.merge(NOTICE)).toEqual(true);
    }
  });

  // Guards against a request that fails, or waits for good, by such an answer.
  it("in the answer to a query for a permit deny it for a bounded time", async () => {
    for (const odd of ODD_NUMBERS) {
      const { timer, permits } = createPermits(odd);
      const request = { kind: "new", weight: 1 } as const;
      await permits.ask(ENTRY, request);
      const waitMs = permits.waitMs(ENTRY, 1);
      expect(waitMs >= 0 && waitMs <= MAX_DENIAL_MS).toEqual(true);
      timer.advance(MAX_DENIAL_MS);
      expect(permits.waitMs(ENTRY, 1)).toEqual(0);
    }
  });
});
