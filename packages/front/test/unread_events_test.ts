import { MemoryHolders } from "@toucantrestle/memory";
import type { ResponseHandlers } from "@toucantrestle/upstream_channel";
import { expect } from "earl";
import { EventEmitter } from "node:events";
import { describe, it } from "node:test";
import { startAttempt } from "../src/attempt.ts";
import type { PathFailureReason } from "../src/path_failure.ts";
import { StreamBudget } from "../src/stream_budget.ts";

const EVENT = Buffer.from(`id: 1\ndata: ${"x".repeat(100_000)}\n\n`);
/** More than is kept for a caller that takes nothing. */
const EVENT_COUNT = 200;

type Handlers = ResponseHandlers<PathFailureReason>;

/** Starts an attempt at a stream whose caller takes nothing. */
function startUnread() {
  const resets: string[] = [];
  const events: string[] = [];
  let handlers: Handlers | undefined;
  const res = Object.assign(new EventEmitter(), {
    headersSent: true,
    writableEnded: false,
    writableLength: EVENT.length,
    writableHighWaterMark: 1,
    write: () => false,
    flushHeaders() {},
  });
  const call = {
    head: { id: "r1" },
    route: { kind: "streaming" },
    config: {},
    req: {
      method: "POST",
      url: "/",
      rawHeaders: [],
      socket: { resetAndDestroy: () => resets.push("reset") },
    },
    res,
    recorder: { recordOutcome() {} },
  };
  const send = (_req: unknown, given: Handlers) => {
    handlers = given;
    return { pause() {}, resume() {}, cancel() {} };
  };
  const protocol = {
    formatUpstreamHeaders: () => [],
    isDeclined: () => false,
    hasUpstreamMark: () => true,
  };
  const attempt = startAttempt({
    call: call as never,
    upstream: { entry: { id: "u1" } } as never,
    path: { kind: "relay", send } as never,
    protocol: protocol as never,
    body: Buffer.alloc(0),
    demand: "any",
    urgency: undefined,
    resumeAfter: "0",
    timeLeftMs: 1_000,
    holders: new MemoryHolders(),
    budget: new StreamBudget({ events: Infinity, bytes: Infinity }),
    keptOutputBytes: () => 0,
    onEvent: (event) => events.push(event.id ?? ""),
    onHead() {},
  });
  handlers?.onHead({ status: 200, rawHeaders: [] } as never);
  return { attempt, resets, events, handlers: handlers as Handlers };
}

describe("a stream whose upstream is not held back", () => {
  // Guards against a resumption behind an event that was dropped.
  it("ends with its caller's connection once too much waits", async () => {
    const { attempt, resets, events, handlers } = startUnread();
    for (let i = 0; i < EVENT_COUNT; i++) handlers.onData(EVENT);
    const { kind } = await attempt.result;
    expect(kind).toEqual("failed");
    expect(events.length > 0).toEqual(true);
    expect(resets.length > 0).toEqual(true);
  });
});
