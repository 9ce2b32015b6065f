import { expect } from "earl";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import type { Call } from "../src/call.ts";
import { CallerQueue, heldForCalls } from "../src/call_holders.ts";

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
});
