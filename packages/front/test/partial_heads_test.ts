import { createSystemTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { CallerConnections } from "../src/caller_connections.ts";
import { MAX_HEADER_BYTES } from "../src/listen.ts";

const POLL_MS = 5;
const HEAD = "GET / HTTP/1.1\r\nhost: x\r\n";
const LONG_HEAD = HEAD + "name: value\r\n".repeat(1_000);
const LONG_COUNT = 40;
const BLANK_LINES = 200_000;
/** What was sent has been read by then. */
const READ_MS = 300;

describe("heads that do not end", () => {
  let server: Server;
  let connections: CallerConnections;
  let sockets: Socket[];

  beforeEach(async () => {
    sockets = [];
    server = createServer();
    connections = new CallerConnections({ server, timer: createSystemTimer() });
    server.on("request", (req, res) => {
      if (connections.add(req, res)) res.end();
    });
    await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  });

  afterEach(() => {
    for (const it of sockets) it.destroy();
    server.close();
  });

  function send(text: string): Socket {
    const { port } = server.address() as AddressInfo;
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => {});
    socket.write(text);
    sockets.push(socket);
    return socket;
  }

  function keptBytes(): number {
    return [...connections.heldForHeads()]
      .reduce((sum, it) => sum + it.keptBytes(), 0);
  }

  // Guards against the end of a process by thousands of unfinished heads.
  it("are counted, and the longest are cut", async () => {
    for (let i = 0; i < LONG_COUNT; i++) send(LONG_HEAD);
    const short = send(HEAD);
    const total = LONG_COUNT * LONG_HEAD.length + HEAD.length;
    while (keptBytes() < total) await delay(POLL_MS);
    for (const it of connections.heldForHeads()) it.cut?.();
    expect(keptBytes()).toEqual(HEAD.length);
    short.end("\r\n");
    const answer = await new Promise((done) => short.once("data", done));
    expect(String(answer).startsWith("HTTP/1.1 200")).toEqual(true);
  });

  it("count no more once they are whole", async () => {
    const socket = send(LONG_HEAD);
    while (keptBytes() < LONG_HEAD.length) await delay(POLL_MS);
    socket.write("\r\n");
    await new Promise((done) => socket.once("data", done));
    expect(keptBytes()).toEqual(0);
  });

  // Guards against the refusal of others for memory that is not in use.
  it("count up to the longest head if blank lines come in place of one", async () => {
    const socket = send("\r\n".repeat(BLANK_LINES));
    const other = send(HEAD);
    while (socket.bytesWritten < 2 * BLANK_LINES) await delay(POLL_MS);
    await delay(READ_MS);
    expect(keptBytes() <= MAX_HEADER_BYTES + HEAD.length).toEqual(true);
    const answer = once(socket, "data");
    connections.endHeadless();
    expect(String(await answer).startsWith("HTTP/1.1 400")).toEqual(true);
    other.end("\r\n");
    const answers = await once(other, "data");
    expect(String(answers).startsWith("HTTP/1.1 200")).toEqual(true);
  });
});
