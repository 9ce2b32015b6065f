import { createNoopLoggers } from "@toucantrestle/log";
import { createSystemTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { createServer, type Server } from "node:net";
import { describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { listenWhenFree } from "../src/mod.ts";

const HELD_MS = 500;
const OPTIONS = {
  timer: createSystemTimer(),
  log: createNoopLoggers()("test"),
};

async function holdPort(): Promise<{ holder: Server; address: string }> {
  const holder = createServer();
  await listenWhenFree(holder, "127.0.0.1:0", OPTIONS);
  const bound = holder.address();
  const port = typeof bound === "object" ? bound?.port : undefined;
  return { holder, address: `127.0.0.1:${port}` };
}

describe("a port in use", () => {
  // Guards against a process that ends because its port is not free yet.
  it("is listened on as soon as it is free", async () => {
    const { holder, address } = await holdPort();
    const server = createServer();
    const listening = listenWhenFree(server, address, OPTIONS);
    await delay(HELD_MS);
    expect(server.listening).toEqual(false);
    holder.close();
    await listening;
    expect(server.listening).toEqual(true);
    server.close();
  });

  it("is given up after the time for it", async () => {
    const { holder, address } = await holdPort();
    const listening = listenWhenFree(createServer(), address, {
      ...OPTIONS,
      timeoutMs: HELD_MS,
    });
    const err = await listening.catch((err) => err);
    expect(err.reason).toEqual("port_unavailable");
    holder.close();
  });
});

describe("a server that listens", () => {
  // Guards against a process that ends because a connection is not accepted.
  it("survives its errors, however many", async () => {
    const { holder } = await holdPort();
    holder.emit("error", new Error("accept EMFILE"));
    holder.emit("error", new Error("accept EMFILE"));
    expect(holder.listening).toEqual(true);
    holder.close();
  });
});
