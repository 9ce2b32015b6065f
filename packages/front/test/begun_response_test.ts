import { expect } from "earl";
import { request, type ServerResponse } from "node:http";
import { connect, type Socket } from "node:net";
import { subscribe } from "node:diagnostics_channel";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import type { BodyDelimiter } from "@toucantrestle/upstream_channel";
import { onReset } from "./send_request.ts";
import { TestCluster } from "./test_cluster.ts";

const cluster = new TestCluster();
const BODY_BYTES = 30_000_000;
const PIECE = Buffer.alloc(65_536, "x");
/**
 * What a slow caller may hold up in the front. The kernel's socket buffers, which
 * grow to several MB each by the machine's settings, are no part of it.
 */
const MAX_HELD_BYTES = 1_000_000;
/** The process exits when the front has stopped; no response goes on then. */
const EXIT_MS = 100;
const DELIMITERS: BodyDelimiter[] = ["length", "chunked", "close"];
const DELIMITER_HEADERS: Record<BodyDelimiter, string> = {
  length: `content-length: ${BODY_BYTES}\r\n`,
  chunked: "transfer-encoding: chunked\r\n",
  close: "",
};

let delimiter: BodyDelimiter;
let sentBytes: number;
let isUpstreamOpen: boolean;

/** Connections of the front to upstreams and from callers. */
const upstreamSockets = new Set<Socket>();
const callerSockets = new Set<Socket>();

subscribe("http.server.request.start", (message) => {
  const { socket } = message as { socket: Socket };
  const isOfFront = cluster.callerAddresses.some((it) =>
    it.endsWith(`:${socket.localPort}`)
  );
  if (isOfFront) callerSockets.add(socket);
});

/** Opens a connection of the front to an upstream. */
function dial(address: string): Socket {
  const [host = "", port] = address.split(":");
  const socket = connect({ host, port: Number(port), noDelay: true });
  upstreamSockets.add(socket);
  return socket;
}

/** Bytes that the front has read so far and not passed to the kernel. */
function bytesInFront(): number {
  let bytes = 0;
  for (const it of upstreamSockets) bytes += it.bytesRead;
  for (const it of callerSockets) bytes -= it.bytesWritten - it.writableLength;
  return bytes;
}

before(async () => {
  cluster.configure([
    { prefix: "/long/", kind: "non_idempotent", maxRuns: 1, timeoutMs: 20_000 },
    { prefix: "/warm/" },
    { prefix: "/short/", kind: "non_idempotent", maxRuns: 1, timeoutMs: 700 },
  ]);
  await cluster.addTurnStores(3);
  await cluster.addUpstream("u", (received, res) => sendBody(received.id, res));
  await cluster.addFront({ dial });
  await cluster.waitUntilReady("/warm/x");
});

after(() => cluster.close());

afterEach((t) => cluster.printLogIfFailed(t));

beforeEach(() => {
  sentBytes = 0;
});

/** Sends a long body, as fast as it is read. */
async function sendBody(id: string, res: ServerResponse): Promise<void> {
  if (res.req.url?.startsWith("/warm/")) return void res.end("warm");
  const { socket } = res.req;
  isUpstreamOpen = true;
  socket.on("close", () => isUpstreamOpen = false);
  const marks = `x-id: ${id}\r\nx-mark: u\r\n`;
  socket.write(
    `HTTP/1.1 200 OK\r\n${marks}${DELIMITER_HEADERS[delimiter]}\r\n`,
  );
  while (sentBytes < BODY_BYTES && !socket.destroyed) {
    const piece = PIECE.subarray(0, BODY_BYTES - sentBytes);
    sentBytes += piece.length;
    if (delimiter === "chunked") {
      socket.write(`${piece.length.toString(16)}\r\n`);
    }
    let isFlushed = socket.write(piece);
    if (delimiter === "chunked") isFlushed = socket.write("\r\n");
    if (!isFlushed) await waitUntilWritable(socket);
  }
  if (delimiter === "chunked") socket.write("0\r\n\r\n");
  if (delimiter === "close") socket.end();
}

/** Resolves when the socket takes more, or is closed. */
function waitUntilWritable(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    const finish = () => {
      socket.off("drain", finish);
      socket.off("close", finish);
      resolve();
    };
    socket.once("drain", finish);
    socket.once("close", finish);
  });
}

/** A response that a caller reads in its own time. */
interface SlowResult {
  status: number;
  bytes: number;
  /** False if the response looks cut. */
  looksComplete: boolean;
  /** Most bytes that the front held for the response. */
  mostHeldBytes: number;
}

/** Reads a response with a pause after each chunk. */
function readSlowly(path: string, pauseMs: number): Promise<SlowResult> {
  const [host = "", port = ""] = (cluster.callerAddresses[0] ?? "").split(":");
  const headers = { host: "x.example", "x-id": `slow-${path}-${delimiter}` };
  const before = bytesInFront();
  return new Promise((resolve) => {
    const result = {
      status: 0,
      bytes: 0,
      looksComplete: true,
      mostHeldBytes: 0,
    };
    const req = request({ host, port, path, headers, agent: false }, (res) => {
      result.status = res.statusCode ?? 0;
      res.on("data", async (chunk: Buffer) => {
        result.bytes += chunk.length;
        const held = bytesInFront() - before;
        result.mostHeldBytes = Math.max(result.mostHeldBytes, held);
        res.pause();
        await delay(pauseMs);
        res.resume();
      });
      res.on("error", () => result.looksComplete = false);
      res.on("close", () => {
        result.looksComplete &&= res.complete;
        resolve(result);
      });
    });
    req.on("error", () => result.looksComplete = false);
    onReset(req, () => result.looksComplete = false);
    req.end();
  });
}

describe("a response that its caller reads slowly", () => {
  for (const it_ of DELIMITERS) {
    // Guards against an answer that is cut by us and looks complete.
    it(`arrives whole and is not stored by the front: ${it_}`, async () => {
      delimiter = it_;
      const result = await readSlowly("/long/a", 5);
      expect([result.bytes, result.looksComplete]).toEqual([BODY_BYTES, true]);
      expect(result.mostHeldBytes).toBeLessThan(MAX_HELD_BYTES);
    });

    // Guards against an answer that is cut by us and looks complete.
    it(`looks cut when its deadline passes: ${it_}`, async () => {
      delimiter = it_;
      const { status, bytes, looksComplete } = await readSlowly("/short/a", 20);
      expect(bytes).toBeLessThan(BODY_BYTES);
      expect([status, looksComplete]).toEqual([200, false]);
    });
  }

  for (const it_ of DELIMITERS) {
    // Guards against an answer that is cut by us and looks complete.
    it(`looks cut when the front's grace period ends: ${it_}`, async () => {
      const front = await cluster.addFront();
      const address = cluster.callerAddresses.pop() ?? "";
      cluster.callerAddresses.unshift(address);
      await cluster.waitUntilReady("/warm/x");
      delimiter = it_;
      sentBytes = 0;
      const reading = readSlowly("/long/b", 50);
      await delay(100);
      front.applySettings({ graceMs: 1_200, seeds: [] });
      await front.stop();
      // What lies in the kernel still reaches its caller after that.
      await delay(EXIT_MS);
      expect(isUpstreamOpen).toEqual(false);
      const result = await reading;
      cluster.callerAddresses.shift();
      expect(result.bytes).toBeLessThan(BODY_BYTES);
      expect(result.looksComplete).toEqual(false);
    });
  }
});
