import { expect } from "earl";
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { readFileSync } from "node:fs";
import { createServer, request, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { prepareDaemon, type StartedDaemon } from "./daemon_process.ts";

/** Memory that a daemon may take with these flags. */
const MEMORY_LIMIT_BYTES = 200 * 1_048_576;
const NODE_ARGS = ["--max-old-space-size=110", "--max-semi-space-size=2"];
const KEY = "caller-key";
const SENDING_MS = 4_000;
const BYSTANDER_PAUSE_MS = 50;
const BYSTANDER_TIMEOUT_MS = 4_000;
const SENDER_COUNT = 4;
/** Requests that a caller sends at once. */
const PIPELINED_BYTES = 500_000;
/** Its program has no owner, so that each waits for some seconds. */
const PIPELINED_REQUEST =
  `GET /v1/programs/p00-a HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${KEY}\r\n\r\n`;

let daemon: StartedDaemon;
let store: Server;
let sockets: Socket[];

beforeEach(async () => {
  sockets = [];
  daemon = await prepareDaemon({
    flags: { "store-url": await startStore() },
    nodeArgs: NODE_ARGS,
  });
  daemon.start();
  if (!await daemon.serves()) throw new Error(daemon.text);
});

afterEach(async () => {
  for (const it of sockets) it.destroy();
  daemon.signal("SIGKILL");
  await daemon.exited;
  store.closeAllConnections();
  store.close();
});

/** Starts a key-value service that has the key of a caller, and no more. */
async function startStore(): Promise<string> {
  const encode = (text: string) => Buffer.from(text).toString("base64");
  const hash = createHash("sha256").update(KEY).digest("hex");
  const kv = {
    key: encode(`/toucantrestle/meta/keys/${hash}`),
    value: encode('{"name":"x","role":"caller","createdAt":1}'),
    mod_revision: "5",
  };
  const listing = JSON.stringify({ header: { revision: "5" }, kvs: [kv] });
  store = createServer((req, res) => {
    req.resume();
    if (req.url === "/v3/kv/range") res.end(listing);
    else res.writeHead(503).end();
  });
  await new Promise<void>((resolve) => store.listen(0, "127.0.0.1", resolve));
  return `http://127.0.0.1:${(store.address() as AddressInfo).port}`;
}

/** Opens a connection of a caller that never reads. */
function open(): Socket {
  const [host = "", port] = daemon.address.split(":");
  const socket = connect({ host, port: Number(port) });
  sockets.push(socket);
  socket.on("error", () => {});
  return socket;
}

/** Writes the same bytes again and again until the daemon closes. */
function sendEndlessly(socket: Socket, bytes: Buffer): void {
  const send = () => {
    while (!socket.destroyed && socket.write(bytes));
    if (!socket.destroyed) socket.once("drain", () => setImmediate(send));
  };
  send();
}

/** Starts a request whose body comes in chunks of one byte, without end. */
function sendEndlessBody(requestLine: string, key: string | undefined): Socket {
  const socket = open();
  const authorization = key ? `authorization: Bearer ${key}\r\n` : "";
  socket.write(
    `${requestLine} HTTP/1.1\r\nhost: x\r\n${authorization}` +
      "transfer-encoding: chunked\r\n\r\n",
  );
  sendEndlessly(socket, Buffer.from("1\r\nx\r\n".repeat(10_000)));
  return socket;
}

/** Calls the daemon as a caller that does nothing wrong. */
function call(): Promise<number> {
  const [host, port] = daemon.address.split(":");
  return new Promise((resolve) => {
    const req = request({ host, port, path: "/health", agent: false });
    req.setTimeout(BYSTANDER_TIMEOUT_MS, () => req.destroy());
    req.on("response", (res) => {
      res.resume();
      res.on("error", () => {});
      res.on("close", () => resolve(res.complete ? res.statusCode ?? 0 : 0));
    });
    req.on("error", () => resolve(0));
    req.end();
  });
}

/** Calls the daemon for some time, and returns how many calls failed. */
async function countFailedCalls(): Promise<number> {
  const end = performance.now() + SENDING_MS;
  let failed = 0;
  while (performance.now() < end) {
    if (await call() !== 200) failed += 1;
    await delay(BYSTANDER_PAUSE_MS);
  }
  return failed;
}

function peakResidentBytes(): number {
  const status = readFileSync(`/proc/${daemon.pid}/status`, "utf8");
  return 1_024 * Number(/^VmHWM:\s*(\d+) kB$/m.exec(status)?.[1] ?? 0);
}

async function expectBystandersServed(): Promise<void> {
  const failed = await countFailedCalls();
  expect(daemon.end).toEqual(undefined);
  expect(failed).toEqual(0);
  const peak = peakResidentBytes();
  expect({ peak, isBelow: peak < MEMORY_LIMIT_BYTES })
    .toEqual({ peak, isBelow: true });
}

describe("daemon with a caller that sends a body without end", () => {
  // Guards against a list of one buffer for each chunk of one byte.
  it("keeps no more than its bytes for chunks of one byte", async () => {
    for (let i = 0; i < SENDER_COUNT; i++) {
      sendEndlessBody("POST /v1/chat/completions", KEY);
    }
    await expectBystandersServed();
  });

  for (
    const [requestLine, key] of [
      ["POST /v1/chat/completions", undefined],
      ["POST /no/route", KEY],
      ["GET /health", KEY],
    ] as const
  ) {
    // Guards against a refused body that is read on without end.
    it(`stops reading it after the answer: ${requestLine}, key ${key}`, async () => {
      const senders = Array.from(
        { length: SENDER_COUNT },
        () => sendEndlessBody(requestLine, key),
      );
      await expectBystandersServed();
      expect(senders.map((it) => it.destroyed)).toEqual(
        senders.map(() => true),
      );
    });
  }
});

describe("daemon with a caller that sends many requests at once", () => {
  // Guards against requests of one connection that are kept without a bound.
  it("keeps a bounded number of them open", async () => {
    const count = Math.ceil(PIPELINED_BYTES / PIPELINED_REQUEST.length);
    for (let i = 0; i < SENDER_COUNT; i++) {
      const socket = open();
      socket.pause();
      sendEndlessly(socket, Buffer.from(PIPELINED_REQUEST.repeat(count)));
    }
    await expectBystandersServed();
  });
});
