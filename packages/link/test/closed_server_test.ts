import { createNoopLoggers } from "@toucantrestle/log";
import { createSystemTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { LinkServer } from "../src/mod.ts";

const log = createNoopLoggers()("link");
const UPGRADE = [
  "GET / HTTP/1.1",
  "host: link",
  "connection: upgrade",
  "upgrade: websocket",
  "sec-websocket-version: 13",
  "sec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==",
  "",
  "",
].join("\r\n");
/** The server has accepted what was connected before. */
const ACCEPT_MS = 50;
const END_TIMEOUT_MS = 1_000;

describe("a link server that closes", () => {
  // Guards against a process that does not end, and against links to a server
  // that serves no more.
  it("ends a connection whose handshake has not begun", async () => {
    const { server, port } = await listen();
    const socket = await open(port);
    await delay(ACCEPT_MS);
    server.close();
    socket.write(UPGRADE);
    expect(await readToEnd(socket)).toEqual("");
  });

  it("ends a connection in the middle of its handshake", async () => {
    const { server, port } = await listen();
    const socket = await open(port);
    socket.write(UPGRADE.slice(0, 40));
    await delay(ACCEPT_MS);
    server.close();
    socket.write(UPGRADE.slice(40));
    expect(await readToEnd(socket)).toEqual("");
  });
});

async function listen(): Promise<
  { server: LinkServer<never, never>; port: number }
> {
  const server = new LinkServer<never, never>({
    log,
    methods: {} as never,
    notices: {} as never,
  });
  const port = await freePort();
  await server.listen(`127.0.0.1:${port}`, { timer: createSystemTimer() });
  return { server, port };
}

async function open(port: number): Promise<Socket> {
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => {});
  await once(socket, "connect");
  return socket;
}

/** Returns what a connection brings until it ends; "open" if it does not end. */
async function readToEnd(socket: Socket): Promise<string> {
  let text = "";
  socket.on("data", (bytes) => text += bytes.toString());
  const ended = once(socket, "close").then(() => text);
  const late = delay(END_TIMEOUT_MS, "open", { ref: false });
  const result = await Promise.race([ended, late]);
  socket.destroy();
  return result;
}

async function freePort(): Promise<number> {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return port;
}
