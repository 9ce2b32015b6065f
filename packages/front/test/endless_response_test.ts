import { expect } from "earl";
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { after, before, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { processorNow } from "./processor_clock.ts";
import { TestCluster } from "./test_cluster.ts";

const cluster = new TestCluster();

/** Deadline of the calls; an endless response must fail long before. */
const TIMEOUT_MS = 4_000;
const FAILURE_MS = 2_000;
/** What an upstream may send in vain, kernel buffers included. */
const MAX_SENT_BYTES = 24_000_000;
const MAX_LOOP_DELAY_MS = 100;
/** Time between two looks at the event loop. */
const LOOK_INTERVAL_MS = 10;
const PIECE_BYTES = 16_384;

type Kind = "plain" | "stream";

/** Bytes that never end, after what the response begins with. */
interface EndlessResponse {
  name: string;
  kind: Kind;
  start: (id: string) => string;
  piece: string;
}

let current: EndlessResponse;
let sentBytes: number;
let isConnectionClosed: boolean;

const HEAD = "HTTP/1.1 200 OK\r\n";
const filler = "x".repeat(PIECE_BYTES);
const chunk = `${PIECE_BYTES.toString(16)}\r\n${filler}\r\n`;

function marked(id: string): string {
  return `${HEAD}x-id: ${id}\r\nx-mark: u\r\n`;
}

const RESPONSES: EndlessResponse[] = [
  {
    name: "bytes that are no response",
    kind: "plain",
    start: () => "",
    piece: filler,
  },
  {
    name: "a header line",
    kind: "plain",
    start: () => `${HEAD}a: `,
    piece: filler,
  },
  {
    name: "header lines",
    kind: "plain",
    start: () => HEAD,
    piece: "a: b\r\n".repeat(2_000),
  },
  {
    name: "interim responses",
    kind: "plain",
    start: () => "",
    piece: "HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n".repeat(400),
  },
  {
    name: "responses to another request",
    kind: "plain",
    start: () => "",
    piece: `${marked("other")}content-length: 4\r\n\r\nbody`.repeat(200),
  },
  {
    name: "a chunk extension",
    kind: "plain",
    start: (id) => `${marked(id)}transfer-encoding: chunked\r\n\r\n4;a=`,
    piece: filler,
  },
  {
    name: "trailers",
    kind: "plain",
    start: (id) =>
      `${marked(id)}transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n`,
    piece: "a: b\r\n".repeat(2_000),
  },
  {
    name: "the body of a declined response",
    kind: "plain",
    start: (id) =>
      `HTTP/1.1 503 No\r\nx-id: ${id}\r\nx-not-run: 1\r\ntransfer-encoding: chunked\r\n\r\n`,
    piece: chunk,
  },
  {
    name: "an event",
    kind: "stream",
    start: (id) => `${marked(id)}transfer-encoding: chunked\r\n\r\n`,
    piece: chunk,
  },
  {
    name: "an event without a delimiter of the body",
    kind: "stream",
    start: (id) => `${marked(id)}\r\n`,
    piece: filler,
  },
  {
    name: "a chunk extension in a stream",
    kind: "stream",
    start: (id) =>
      `${
        marked(id)
      }transfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: a\n\n\n\r\n4;a=`,
    piece: filler,
  },
];

before(async () => {
  cluster.configure([
    {
      prefix: "/plain/",
      kind: "non_idempotent",
      maxRuns: 1,
      timeoutMs: TIMEOUT_MS,
    },
    {
      prefix: "/stream/",
      kind: "streaming",
      maxRuns: 1,
      timeoutMs: TIMEOUT_MS,
    },
    { prefix: "/other/", services: [{ service: "t", weight: 1 }] },
  ]);
  await cluster.addTurnStores(3);
  await cluster.addUpstream("u", (received, res) => pour(received.id, res));
  await cluster.addUpstream("v", (_received, res) => res.end("fine"), {
    service: "t",
  });
  await cluster.addFront();
  await cluster.waitUntilReady("/other/x");
});

after(() => cluster.close());

beforeEach(() => {
  sentBytes = 0;
  isConnectionClosed = false;
});

/** Writes the current response as fast as it is read, until the end. */
function pour(id: string, res: ServerResponse): void {
  const socket = res.req.socket;
  socket.on("close", () => isConnectionClosed = true);
  write(socket, current.start(id));
  const writeOn = () => {
    if (socket.destroyed) return;
    const isFlushed = write(socket, current.piece);
    if (isFlushed) setImmediate(writeOn);
    else socket.once("drain", writeOn);
  };
  writeOn();
}

function write(socket: Socket, text: string): boolean {
  sentBytes += text.length;
  return socket.write(text, "latin1");
}

/**
 * Watches the event loop. The result ends this and returns the longest time
 * between two turns in ms, without the time that no processor was free.
 */
function watchLoop(): () => number {
  let lastAt = processorNow();
  let longestMs = 0;
  const look = () => {
    const now = processorNow();
    longestMs = Math.max(longestMs, now - lastAt);
    lastAt = now;
  };
  const interval = setInterval(look, LOOK_INTERVAL_MS);
  return () => {
    clearInterval(interval);
    look();
    return longestMs;
  };
}

describe("a response without end", () => {
  for (const response of RESPONSES) {
    // Guards against an upstream whose bytes never end.
    it(`is given up after bounded bytes and time: ${response.name}`, async () => {
      current = response;
      const endWatch = watchLoop();
      const start = processorNow();
      const headers = { "x-id": `e-${RESPONSES.indexOf(response)}` };
      const result = await cluster.call(
        `/${response.kind}/${response.name.length}`,
        {
          headers,
        },
      );
      const ms = processorNow() - start;
      const loopDelayMs = endWatch();
      expect(result.status === 200 && result.isComplete).toEqual(false);
      expect(ms).toBeLessThan(FAILURE_MS);
      expect(sentBytes).toBeLessThan(MAX_SENT_BYTES);
      expect(loopDelayMs).toBeLessThan(MAX_LOOP_DELAY_MS);
      await delay(50);
      expect(isConnectionClosed).toEqual(true);
    });
  }

  it("does not hold up other calls", async () => {
    current = RESPONSES.find((it) => it.name === "an event") ?? current;
    const endless = cluster.call("/stream/y", { headers: { "x-id": "e-y" } });
    const start = processorNow();
    const other = await cluster.call("/other/y", { headers: { "x-id": "o" } });
    expect(other.status).toEqual(200);
    expect(processorNow() - start).toBeLessThan(MAX_LOOP_DELAY_MS * 2);
    await endless;
  });
});
