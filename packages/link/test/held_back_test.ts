import { createNoopLoggers } from "@toucantrestle/log";
import { MemoryHolders } from "@toucantrestle/memory";
import { createSystemTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { Packr } from "msgpackr";
import { randomInt } from "node:crypto";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { WebSocket } from "ws";
import { LinkServer } from "../src/mod.ts";

type Methods = { text: { args: number; result: string } };

/** Below the ephemeral ports, which outgoing connections may claim. */
const LOWEST_PORT = 12_000;
const HIGHEST_PORT = 31_000;
const REQUESTS = 100_000;
const RESULT = "x".repeat(1_000);
const POLL_MS = 50;
/** Time in which nothing more is handled once a process is held back. */
const STILL_MS = 500;

const packr = new Packr({ useRecords: false });

describe("a process that asks and does not read", () => {
  let server: LinkServer<Methods, Record<never, never>>;
  let holders: MemoryHolders;
  let socket: WebSocket;
  let handledCount: number;

  beforeEach(async () => {
    handledCount = 0;
    holders = new MemoryHolders();
    const address = `127.0.0.1:${randomInt(LOWEST_PORT, HIGHEST_PORT)}`;
    server = new LinkServer<Methods, Record<never, never>>({
      log: createNoopLoggers()("link"),
      methods: {
        text: () => {
          handledCount += 1;
          return RESULT;
        },
      },
      notices: {},
      holders,
    });
    await server.listen(address, { timer: createSystemTimer() });
    socket = new WebSocket(`ws://${address}`);
    await new Promise((resolve) => socket.once("open", resolve));
    socket.on("error", () => {});
    socket.pause();
    const bytes = packr.pack({ t: "request", id: 1, name: "text", args: 1 });
    for (let i = 0; i < REQUESTS; i++) socket.send(bytes);
  });

  afterEach(() => {
    socket.terminate();
    server.close();
  });

  async function untilStill(): Promise<void> {
    let count = -1;
    while (count !== handledCount || count === 0) {
      count = handledCount;
      await delay(STILL_MS);
    }
  }

  // Guards against results that pile up for a process that does not read them.
  it("is held back, and what is kept for it is known", async () => {
    await untilStill();
    expect(handledCount < REQUESTS).toEqual(true);
    const keptBytes = holders.bytesByPurpose().link_messages;
    expect(keptBytes > 1_000_000 && keptBytes < 32_000_000).toEqual(true);
  });

  it("gets all results once it reads", async () => {
    await untilStill();
    let resultCount = 0;
    socket.on("message", () => resultCount += 1);
    socket.resume();
    while (resultCount < REQUESTS) await delay(POLL_MS);
    expect(handledCount).toEqual(REQUESTS);
  });

  it("is cut when the process lacks memory", async () => {
    await untilStill();
    for (const it of holders) it.cut?.();
    while (holders.count > 0) await delay(POLL_MS);
    expect(holders.count).toEqual(0);
  });
});
