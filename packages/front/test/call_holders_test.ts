import { MemoryHolders } from "@toucantrestle/memory";
import { expect } from "earl";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { startAttempt } from "../src/attempt.ts";
import type { Call } from "../src/call.ts";
import { CallerQueue, heldForCalls } from "../src/call_holders.ts";
import { StreamBudget } from "../src/stream_budget.ts";

/** Creates a call whose response waits behind another one of its connection. */
function createCall(kind: string): { call: Call; resets: string[] } {
  const resets: string[] = [];
  const socket: Pick<Socket, "resetAndDestroy"> = {
    resetAndDestroy() {
      resets.push("reset");
      return this as Socket;
    },
  };
  const call = {
    head: { id: "r1" },
    body: Buffer.alloc(0),
    route: { kind },
    config: {},
    req: { method: "POST", url: "/", rawHeaders: [], socket },
    res: { socket: null, writableLength: 1_000 },
    recorder: { recordOutcome() {} },
  };
  return { call: call as never, resets };
}

function queuesOf(call: Call): CallerQueue[] {
  return [...heldForCalls([call])].filter((it) => it instanceof CallerQueue);
}

describe("what is kept for a call", () => {
  // Guards against a queue that is cut again and again and hides the next one.
  it("is the same holder at each look", () => {
    const { call } = createCall("idempotent");
    expect(queuesOf(call)[0] === queuesOf(call)[0]).toEqual(true);
  });

  // Guards against a cut that frees nothing of a response behind another one.
  it("goes with its connection if its response has not begun", () => {
    const { call, resets } = createCall("idempotent");
    queuesOf(call)[0]?.cut();
    expect(resets).toEqual(["reset"]);
  });

  const kinds = { idempotent: false, non_idempotent: true };
  for (const [kind, isIrreplaceable] of Object.entries(kinds)) {
    // Guards against a cut of what cannot be had once more before all else.
    it(`is marked if it cannot be had once more: ${kind}`, () => {
      const holders = new MemoryHolders();
      startIdleAttempt(createCall(kind).call, holders);
      const [attempt] = [...holders];
      expect(attempt?.isIrreplaceable).toEqual(isIrreplaceable);
    });
  }
});

/** Starts an attempt at an upstream that does not respond. */
function startIdleAttempt(call: Call, holders: MemoryHolders): void {
  const exchange = { pause() {}, resume() {}, cancel() {} };
  const protocol = { formatUpstreamHeaders: () => [] };
  startAttempt({
    call,
    upstream: { entry: { id: "u1" } } as never,
    path: { kind: "direct", send: () => exchange } as never,
    protocol: protocol as never,
    body: call.body,
    demand: "any",
    urgency: undefined,
    resumeAfter: undefined,
    timeLeftMs: 1_000,
    holders,
    budget: new StreamBudget({ events: 1, bytes: 1 }),
    keptOutputBytes: () => 0,
    onEvent() {},
    onHead() {},
  });
}
