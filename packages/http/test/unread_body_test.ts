import { createNoopLoggers } from "@toucantrestle/log";
import { MemoryHolders } from "@toucantrestle/memory";
import { createSystemTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { randomInt } from "node:crypto";
import { connect, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { createHttpServer, type HttpServer } from "../src/mod.ts";

const LISTEN_OPTIONS = {
  timer: createSystemTimer(),
  log: createNoopLoggers()("http"),
};
const MAX_BODY_BYTES = 1_000;
const MAX_OPEN_REQUESTS = 100;
const POLL_MS = 5;
const WAIT_MS = 5_000;

let server: HttpServer;
let address: string;
let holders: MemoryHolders;
let sockets: Socket[];

beforeEach(async () => {
  sockets = [];
  holders = new MemoryHolders();
  server = createHttpServer({
    routes: [{
      method: "POST",
      path: "/length",
      role: "none",
      handler: async (ctx) => ({ length: (await ctx.text()).length }),
    }, {
      method: "POST",
      path: "/key",
      role: "caller",
      handler: () => ({}),
    }, {
      method: "GET",
      path: "/",
      role: "none",
      handler: () => ({ length: 0 }),
    }],
    maxBodyBytes: MAX_BODY_BYTES,
    tls: undefined,
    timer: LISTEN_OPTIONS.timer,
    holders,
    authenticate: () => undefined,
    isReady: () => true,
    onError() {},
  });
  address = `127.0.0.1:${randomInt(12_000, 31_000)}`;
  await server.listen(address, LISTEN_OPTIONS);
});

afterEach(async () => {
  for (const it of sockets) it.destroy();
  await server.drain();
});

/** Opens a connection that stays open until the server closes it. */
function open() {
  const [host = "", port] = address.split(":");
  const socket = connect({ host, port: Number(port), allowHalfOpen: true });
  sockets.push(socket);
  const seen = { text: "", hasEnded: false, isReset: false };
  socket.on("data", (chunk) => seen.text += chunk);
  socket.on("end", () => seen.hasEnded = true);
  socket.on("error", () => seen.isReset = true);
  return {
    seen,
    socket,
    statuses: () =>
      [...seen.text.matchAll(/HTTP\/1.1 (\d+)/g)].map((it) => Number(it[1])),
  };
}

function head(path: string, ...lines: string[]): string {
  return [`POST ${path} HTTP/1.1`, "host: x", ...lines, "", ""].join("\r\n");
}

function chunks(count: number): string {
  return "1\r\nx\r\n".repeat(count);
}

async function waitFor(isDone: () => boolean): Promise<void> {
  const deadline = performance.now() + WAIT_MS;
  while (!isDone()) {
    if (performance.now() > deadline) throw new Error("waited in vain");
    await delay(POLL_MS);
  }
}

describe("HTTP server that gets a body", () => {
  it("reads it whole in chunks of one byte", async () => {
    const caller = open();
    caller.socket.write(head("/length", "transfer-encoding: chunked"));
    caller.socket.write(chunks(MAX_BODY_BYTES));
    await waitFor(() => holders.count === 1);
    caller.socket.write("0\r\n\r\n");
    await waitFor(() => caller.seen.text.includes('{"length":1000}'));
    expect(holders.count).toEqual(0);
  });

  // Guards against a refusal that its caller cannot read.
  it("answers 413 and ends the connection if it is too long", async () => {
    const caller = open();
    caller.socket.write(head("/length", "transfer-encoding: chunked"));
    caller.socket.write(chunks(MAX_BODY_BYTES + 1));
    await waitFor(() => caller.seen.hasEnded);
    expect(caller.statuses()).toEqual([413]);
    expect(caller.seen.isReset).toEqual(false);
    expect(holders.count).toEqual(0);
  });

  // Guards against a refused body that is read on.
  for (
    const [path, status] of Object.entries({ "/key": 401, "/no/route": 404 })
  ) {
    it(`ends the connection after status ${status} before it`, async () => {
      const caller = open();
      caller.socket.write(head(path, "transfer-encoding: chunked"));
      caller.socket.write(chunks(10));
      await waitFor(() => caller.seen.hasEnded);
      expect(caller.statuses()).toEqual([status]);
      expect(caller.seen.text.toLowerCase()).toInclude("connection: close");
    });
  }

  it("goes on after a refusal with a short body", async () => {
    const caller = open();
    const request = head("/key", "content-length: 10") + "x".repeat(10);
    caller.socket.write(request.repeat(2));
    await waitFor(() => caller.statuses().length === 2);
    expect(caller.seen.hasEnded).toEqual(false);
  });

  it("answers 503 if it is cut for lack of memory", async () => {
    const caller = open();
    caller.socket.write(head("/length", "content-length: 500") + "x");
    await waitFor(() => holders.count === 1);
    for (const it of holders) it.cut?.();
    await waitFor(() => caller.statuses().length === 1);
    expect(caller.statuses()).toEqual([503]);
    expect(holders.count).toEqual(0);
  });
});

describe("HTTP server that gets many requests at once", () => {
  // Guards against requests of one connection that are kept without a bound.
  it("answers as many as may be open, then ends the connection", async () => {
    const caller = open();
    const request = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    caller.socket.write(request.repeat(MAX_OPEN_REQUESTS + 50));
    await waitFor(() => caller.seen.hasEnded);
    expect(caller.statuses().length).toEqual(MAX_OPEN_REQUESTS);
    expect(caller.seen.text.toLowerCase()).toInclude("connection: close");
  });
});
