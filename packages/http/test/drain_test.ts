import { createNoopLoggers } from "@toucantrestle/log";
import { createSystemTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { createHttpServer, type HttpServer } from "../src/mod.ts";

const LISTEN_OPTIONS = {
  timer: createSystemTimer(),
  log: createNoopLoggers()("http"),
};

const POLL_MS = 5;
const WAIT_MS = 5_000;
/** More than the kernel holds for a caller. */
const LARGE_BYTES = 16_000_000;

let server: HttpServer;
let address: string;
/** Requests that were run. */
let runs: string[];
/** Completes the responses that are held, by path. */
let release: Map<string, () => void>;
let sockets: Socket[];
let endedCount: number;

beforeEach(async () => {
  runs = [];
  endedCount = 0;
  release = new Map();
  sockets = [];
  server = createHttpServer({
    routes: [{
      method: "GET",
      path: "/work/:name",
      role: "none",
      async handler({ params: { name = "" } }) {
        runs.push(name);
        await new Promise<void>((resolve) => release.set(name, resolve));
        if (name !== "large") return { name };
        queueMicrotask(() => endedCount += 1);
        return { name, text: "x".repeat(LARGE_BYTES) };
      },
    }],
    maxBodyBytes: 1_000,
    tls: undefined,
    timer: LISTEN_OPTIONS.timer,
    authenticate: () => undefined,
    isReady: () => true,
    onError() {},
  });
  address = await findFreeAddress();
  await server.listen(address, LISTEN_OPTIONS);
});

afterEach(() => {
  for (const done of release.values()) done();
  for (const socket of sockets) socket.destroy();
});

async function findFreeAddress(): Promise<string> {
  const probe = createServer();
  await new Promise<void>((resolve) => probe.listen(0, "127.0.0.1", resolve));
  const { port } = probe.address() as AddressInfo;
  await new Promise((resolve) => probe.close(resolve));
  return `127.0.0.1:${port}`;
}

/** Opens a connection that stays open until the server closes it. */
function open() {
  const [host = "", port] = address.split(":");
  const socket = connect({ host, port: Number(port) });
  sockets.push(socket);
  const seen = { text: "", isClosed: false };
  socket.on("data", (chunk) => seen.text += chunk);
  socket.on("error", () => {});
  socket.on("close", () => seen.isClosed = true);
  return {
    seen,
    socket,
    request: (...names: string[]) => {
      const text = names.map((it) =>
        `GET /work/${it} HTTP/1.1\r\nhost: x\r\n\r\n`
      );
      socket.write(text.join(""));
    },
    answers: () =>
      [...seen.text.matchAll(/\{"name":"(\w+)"\}/g)].map((it) => it[1]),
  };
}

async function waitFor(isDone: () => boolean): Promise<void> {
  const deadline = performance.now() + WAIT_MS;
  while (!isDone()) {
    if (performance.now() > deadline) throw new Error("waited in vain");
    await delay(POLL_MS);
  }
}

describe("HTTP server that drains", () => {
  // Guards against a stop that lasts as long as callers keep connections open.
  it("ends a connection after its last response", async () => {
    const connection = open();
    connection.request("a");
    await waitFor(() => release.has("a"));
    let isDrained = false;
    const drained = server.drain().then(() => isDrained = true);
    release.get("a")?.();
    await waitFor(() => isDrained);
    await drained;
    expect(connection.answers()).toEqual(["a"]);
    expect(connection.seen.text.toLowerCase()).toInclude("connection: close");
  });

  // Guards against LOST: requests that were read and got no response.
  it("answers all requests that were sent in a row", async () => {
    const connection = open();
    connection.request("a", "b", "c");
    await waitFor(() => release.size === 3);
    const drained = server.drain();
    for (const name of ["c", "a", "b"]) release.get(name)?.();
    await waitFor(() => connection.seen.isClosed);
    await drained;
    expect(connection.answers()).toEqual(["a", "b", "c"]);
  });

  // Guards against requests that are run and can't be answered any more.
  it("runs no request that it cannot answer", async () => {
    const connection = open();
    connection.request("a");
    await waitFor(() => release.has("a"));
    const drained = server.drain();
    connection.request("late");
    await delay(50);
    for (const done of release.values()) done();
    await waitFor(() => connection.seen.isClosed);
    await drained;
    expect(connection.answers()).toEqual(runs);
  });

  // Guards against LOST: a response that its caller had not read was cut.
  it("sends a response that its caller reads later", async () => {
    const connection = open();
    connection.socket.pause();
    connection.request("large");
    await waitFor(() => release.has("large"));
    release.get("large")?.();
    await waitFor(() => endedCount === 1);
    const drained = server.drain();
    await delay(50);
    connection.socket.resume();
    await waitFor(() => connection.seen.isClosed);
    await drained;
    expect(connection.seen.text.length).toBeGreaterThan(LARGE_BYTES);
  });

  // Guards against LOST: a request that had arrived and was not read yet.
  it("answers a request that has arrived on an idle connection", async () => {
    const connection = open();
    connection.request("a");
    await waitFor(() => release.has("a"));
    release.get("a")?.();
    await waitFor(() => connection.answers().length === 1);
    connection.request("b");
    const drained = server.drain();
    await waitFor(() => release.has("b") || connection.seen.isClosed);
    release.get("b")?.();
    await drained;
    await waitFor(() => connection.seen.isClosed);
    expect(connection.answers()).toEqual(["a", "b"]);
  });

  it("closes idle connections at once", async () => {
    const connection = open();
    connection.request("a");
    await waitFor(() => release.has("a"));
    release.get("a")?.();
    await waitFor(() => connection.answers().length === 1);
    await server.drain();
    await waitFor(() => connection.seen.isClosed);
  });
});
