import { createManualTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { describe, it } from "node:test";
import { RelayFlow } from "../src/relay_flow.ts";

describe("RelayFlow", () => {
  it("pauses while the buffer for the sibling is full", () => {
    const { flow, receiver, timer, calls } = createFlow();
    flow.onSent();
    expect(calls).toEqual([]);
    receiver.bufferedBytes = 2_000_000;
    flow.onSent();
    timer.advance(100);
    expect(calls).toEqual(["pause"]);
    receiver.bufferedBytes = 0;
    timer.advance(20);
    expect(calls).toEqual(["pause", "resume"]);
  });

  it("does not resume what the sibling has paused", () => {
    const { flow, receiver, timer, calls } = createFlow();
    receiver.bufferedBytes = 2_000_000;
    flow.onSent();
    flow.pause();
    receiver.bufferedBytes = 0;
    timer.advance(100);
    expect(calls.includes("resume")).toEqual(false);
    flow.resume();
    expect(calls.at(-1)).toEqual("resume");
  });

  it("does not resume for the sibling while the buffer is full", () => {
    const { flow, receiver, timer, calls } = createFlow();
    receiver.bufferedBytes = 2_000_000;
    flow.onSent();
    flow.pause();
    flow.resume();
    expect(calls.includes("resume")).toEqual(false);
    receiver.bufferedBytes = 0;
    timer.advance(20);
    expect(calls.at(-1)).toEqual("resume");
  });

  it("does nothing after the end", () => {
    const { flow, receiver, timer, calls } = createFlow();
    receiver.bufferedBytes = 2_000_000;
    flow.onSent();
    flow.end();
    receiver.bufferedBytes = 0;
    timer.advance(100);
    expect(calls).toEqual(["pause"]);
  });
});

function createFlow() {
  const calls: string[] = [];
  const timer = createManualTimer();
  const receiver = { bufferedBytes: 0 };
  const exchange = {
    pause: () => calls.push("pause"),
    resume: () => calls.push("resume"),
  };
  const flow = new RelayFlow({ exchange, receiver, timer });
  return { flow, receiver, timer, calls };
}
