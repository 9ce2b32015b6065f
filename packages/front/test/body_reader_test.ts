import { MemoryHolders } from "@toucantrestle/memory";
import { createManualTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { IncomingMessage } from "node:http";
import { Socket } from "node:net";
import { describe, it } from "node:test";
import { BodyReader } from "../src/body_reader.ts";

const DEADLINE_MS = 1_000;
const MAX_BYTES = 100;

function createReader() {
  const holders = new MemoryHolders();
  const timer = createManualTimer();
  const bodies = new BodyReader({ holders, timer });
  bodies.start();
  const req = new IncomingMessage(new Socket());
  const limits = {
    maxBytes: MAX_BYTES,
    deadlineAt: timer.monotonicNow() + DEADLINE_MS,
  };
  return { holders, timer, req, result: bodies.read(req, limits) };
}

describe("BodyReader", () => {
  it("joins the pieces of a body, and keeps nothing afterwards", async () => {
    const { req, result, holders } = createReader();
    for (const it of ["a", "b", "c"]) req.push(it);
    req.push(null);
    expect(await result).toEqual({ kind: "whole", body: Buffer.from("abc") });
    expect(holders.count).toEqual(0);
  });

  it("gives up a body that is too large", async () => {
    const { req, result, holders } = createReader();
    req.push("x".repeat(MAX_BYTES));
    req.push("x");
    expect(await result).toEqual({ kind: "too_large" });
    expect(holders.count).toEqual(0);
  });

  // Guards against a body that arrives for ever.
  it("gives up a body that is not whole at its deadline", async () => {
    const { timer, result, holders } = createReader();
    timer.advance(2 * DEADLINE_MS);
    expect(await result).toEqual({ kind: "late" });
    expect(holders.count).toEqual(0);
  });

  // Guards against memory that cannot be freed before a body is whole.
  it("gives up a body that is cut for its memory", async () => {
    const { req, result, holders } = createReader();
    const seen = new Promise((resolve) => req.once("data", resolve));
    req.push("abc");
    await seen;
    const [holder] = holders;
    expect([holder?.purpose, (holder?.keptBytes() ?? 0) > 0]).toEqual([
      "request_bodies",
      true,
    ]);
    holder?.cut?.();
    expect(await result).toEqual({ kind: "memory_full" });
    expect(holders.count).toEqual(0);
  });
});
