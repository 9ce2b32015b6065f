import { expect } from "earl";
import type { ServerResponse } from "node:http";
import process from "node:process";
import { after, afterEach, before, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { PathFault } from "./path_fault.ts";
import { processorNow } from "./processor_clock.ts";
import { type CallResult, TestCluster } from "./test_cluster.ts";

/** A body over this size is forwarded before its end. */
const LARGE_BODY = "x".repeat(300_000);
const PLAIN_BODY = "0123456789".repeat(4);
const STREAM = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const TURN_HEADERS = {
  "x-program": "p",
  "x-budget": "1000000",
  "x-prompt-tokens": "10",
  "x-max-output": "5",
};
/** Calls on these paths may run once. */
const BODIES: Record<string, string> = {
  "/once/": PLAIN_BODY,
  "/large/": LARGE_BODY,
  "/events/": STREAM,
  "/again/": STREAM,
  "/kept/": STREAM,
};
/** Statuses that assure a caller that its request did not run. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];
const CUT_DETECTION_MS = 3_000;

/** A response that no upstream may send. */
interface Malformed {
  name: string;
  /** Returns the bytes of the response; `marks` are proper header lines. */
  bytes: (marks: string, body: string) => string;
  /** How the connection ends after the last byte, if it does. */
  ending?: "close" | "reset";
}

function chunked(...parts: string[]): string {
  return parts.map((it) => `${it.length.toString(16)}\r\n${it}\r\n`).join("");
}

function withLength(body: string): string {
  return `content-length: ${body.length}\r\n\r\n${body}`;
}

const MALFORMED_HEADS: Malformed[] = [
  {
    name: "a control character in the value of a header",
    bytes: (marks, body) =>
      `HTTP/1.1 200 OK\r\n${marks}x-a: b\x01c\r\n${withLength(body)}`,
  },
  {
    name: "a character in the name of a header that no token may hold",
    bytes: (marks, body) =>
      `HTTP/1.1 200 OK\r\n${marks}x(a: b\r\n${withLength(body)}`,
  },
  {
    name: "a control character in the name of a header",
    bytes: (marks, body) =>
      `HTTP/1.1 200 OK\r\n${marks}x\x02a: b\r\n${withLength(body)}`,
  },
  {
    name: "a control character in the head of a chunked body",
    bytes: (marks, body) =>
      `HTTP/1.1 200 OK\r\n${marks}x-a: \x7f\r\ntransfer-encoding: chunked\r\n\r\n${
        chunked(body)
      }0\r\n\r\n`,
  },
  {
    name: "a control character in the head of a body without a length",
    bytes: (marks, body) =>
      `HTTP/1.1 200 OK\r\n${marks}x-a: \x00\r\n\r\n${body}`,
    ending: "close",
  },
];

/** Half of a body and how the rest of it is not to be framed. */
function halfThen(rest: string): Malformed["bytes"] {
  return (marks, body) => {
    const half = body.slice(0, Math.floor(body.length / 2));
    return `HTTP/1.1 200 OK\r\n${marks}transfer-encoding: chunked\r\n\r\n${
      chunked(half)
    }${rest}`;
  };
}

/** A whole body under headers that do not tell where it ends. */
function framedBy(headers: string): Malformed["bytes"] {
  return (marks, body) =>
    `HTTP/1.1 200 OK\r\n${marks}${headers}\r\n\r\n${body}`;
}

/** A whole response with a first line that is none. */
function startingWith(line: string): Malformed["bytes"] {
  return (marks, body) => `${line}\r\n${marks}${withLength(body)}`;
}

const MALFORMED_BODIES: Malformed[] = [
  { name: "a chunk size that is no number", bytes: halfThen("zz\r\n\r\n") },
  { name: "an empty chunk size", bytes: halfThen("\r\n\r\n") },
  { name: "a negative chunk size", bytes: halfThen("-1\r\n\r\n") },
  { name: "a chunk size with a prefix", bytes: halfThen("0x0\r\n\r\n") },
  { name: "a chunk size after a space", bytes: halfThen(" 0\r\n\r\n") },
  {
    name: "a chunk size that no number holds",
    bytes: halfThen("fffffffffffffffff\r\nx"),
  },
  {
    name: "a chunk that lacks its line end",
    bytes: halfThen("1\r\nx0\r\n\r\n"),
  },
  { name: "a last chunk with another line end", bytes: halfThen("0\n\n") },
  {
    name: "a malformed trailer",
    bytes: halfThen("0\r\nx\x01: a\r\n\r\n"),
  },
  {
    name: "chunks that end with the connection",
    bytes: halfThen(""),
    ending: "close",
  },
  {
    name: "chunks that end with a reset",
    bytes: halfThen(""),
    ending: "reset",
  },
  { name: "a length that is no number", bytes: framedBy("content-length: a") },
  {
    name: "a length that begins as one",
    bytes: framedBy("content-length: 4a"),
  },
  { name: "a negative length", bytes: framedBy("content-length: -4") },
  { name: "a length with a sign", bytes: framedBy("content-length: +4") },
  { name: "an empty length", bytes: framedBy("content-length: ") },
  {
    name: "two lengths",
    bytes: framedBy("content-length: 4\r\ncontent-length: 8"),
  },
  { name: "a list of lengths", bytes: framedBy("content-length: 4, 4") },
  {
    name: "a length and chunks",
    bytes: (marks, body) =>
      `HTTP/1.1 200 OK\r\n${marks}content-length: 4\r\n` +
      `transfer-encoding: chunked\r\n\r\n${chunked(body)}0\r\n\r\n`,
  },
  {
    name: "a coding that was not asked for",
    bytes: (marks, body) =>
      `HTTP/1.1 200 OK\r\n${marks}transfer-encoding: gzip, chunked\r\n\r\n${
        chunked(body)
      }0\r\n\r\n`,
  },
  {
    name: "a coding that ends with the connection",
    bytes: framedBy("transfer-encoding: identity"),
    ending: "close",
  },
  {
    name: "a body that is shorter than its length",
    bytes: (marks, body) =>
      `HTTP/1.1 200 OK\r\n${marks}content-length: ${
        body.length + 1
      }\r\n\r\n${body}`,
    ending: "close",
  },
  {
    name: "a body without a length that is reset",
    bytes: (marks, body) => `HTTP/1.1 200 OK\r\n${marks}\r\n${body}`,
    ending: "reset",
  },
];

const MALFORMED_LINES: Malformed[] = [
  { name: "another protocol", bytes: startingWith("ICY 200 OK") },
  { name: "another version", bytes: startingWith("HTTP/2.0 200 OK") },
  { name: "a status of two digits", bytes: startingWith("HTTP/1.1 20 OK") },
  { name: "a status of four digits", bytes: startingWith("HTTP/1.1 2000 OK") },
  {
    name: "a status that no server sends",
    bytes: startingWith("HTTP/1.1 999 OK"),
  },
  { name: "no status", bytes: startingWith("HTTP/1.1 OK") },
  {
    name: "an upgrade",
    bytes: startingWith(
      "HTTP/1.1 101 OK\r\nconnection: upgrade\r\nupgrade: h2c",
    ),
  },
  {
    name: "a line that is no header",
    bytes: startingWith("HTTP/1.1 200 OK\r\nx-a"),
  },
  {
    name: "a header name before a space",
    bytes: startingWith("HTTP/1.1 200 OK\r\nx-a : b"),
  },
  {
    name: "a header on two lines",
    bytes: startingWith("HTTP/1.1 200 OK\r\nx-a: b\r\n c"),
  },
  {
    name: "a line end within a header",
    bytes: startingWith("HTTP/1.1 200 OK\r\nx-a: b\rc"),
  },
];

/** Exceptions that would have ended the process of a front. */
const uncaught: unknown[] = [];
process.on("uncaughtExceptionMonitor", (err) => uncaught.push(err));

/** A failure is known at once and not at the deadline of the call. */
const FAILURE_MS = 1_000;

const cluster = new TestCluster();
let malformed: Malformed | undefined;
let nextId = 0;

/**
 * Answers with the current bytes, or well if there are none. Behind bytes that
 * its server does not know of, a connection has no other response; a front
 * closes it.
 */
function writeResponse(id: string, path: string, res: ServerResponse): void {
  const { socket } = res.req;
  const marks = `x-id: ${id}\r\nx-mark: u\r\n`;
  const body = BODIES[path] ?? PLAIN_BODY;
  if (!malformed) {
    res.setHeader("content-length", Buffer.byteLength(body));
    res.end(body);
    return;
  }
  socket.write(malformed.bytes(marks, body), "latin1");
  if (malformed.ending === "close") socket.end();
  if (malformed.ending === "reset") {
    setTimeout(() => socket.resetAndDestroy(), 20);
  }
}

before(async () => {
  cluster.configure([
    { prefix: "/plain/" },
    { prefix: "/once/", kind: "non_idempotent", maxRuns: 1 },
    { prefix: "/large/", kind: "non_idempotent", maxRuns: 1 },
    { prefix: "/events/", kind: "streaming", maxRuns: 1 },
    { prefix: "/again/", kind: "streaming", isResumable: true, maxRuns: 1 },
    { prefix: "/kept/", kind: "streaming", keepsTurns: true, maxRuns: 1 },
  ]);
  await cluster.addTurnStores(3);
  for (const id of ["u1", "u2"]) {
    await cluster.addUpstream(
      id,
      (received, res) => writeResponse(received.id, received.path, res),
    );
  }
  const path = new PathFault();
  await cluster.addFront();
  await cluster.addFront({ dial: path.dial });
  await cluster.waitUntilReady("/kept/", TURN_HEADERS);
  path.cut("hang");
  await settleCut();
});

after(() => cluster.close());

afterEach((t) => cluster.printLogIfFailed(t));

beforeEach(() => {
  malformed = undefined;
  cluster.received.length = 0;
});

/** Calls the second front until it has noticed that it reaches no upstream. */
async function settleCut(): Promise<void> {
  const end = performance.now() + CUT_DETECTION_MS;
  const calls: Promise<unknown>[] = [];
  while (performance.now() < end) {
    calls.push(call("/plain/", 1));
    await delay(100);
  }
  await Promise.allSettled(calls);
}

function call(path: string, front: number): Promise<CallResult> {
  nextId += 1;
  return cluster.call(path, {
    front,
    headers: { ...TURN_HEADERS, "x-id": `m${nextId}` },
  });
}

/** The call failed, and its caller is not told that it has not run. */
function expectFailure(result: CallResult | undefined): void {
  if (result === undefined) return;
  const looksComplete = result.status < 300 && result.isComplete;
  expect(looksComplete).toEqual(false);
  expect(NOT_RUN_STATUSES.includes(result.status)).toEqual(false);
}

const MALFORMED = [
  ...MALFORMED_HEADS,
  ...MALFORMED_BODIES,
  ...MALFORMED_LINES,
];
const WAYS = { "direct": 0, "through a sibling": 1 };

for (const [way, front] of Object.entries(WAYS)) {
  for (const path of Object.keys(BODIES)) {
    describe(`a malformed response (${way}, ${path})`, () => {
      for (const response of MALFORMED) {
        // Guards against a front that ends because it writes a head that no
        // server may write, and against a part of a body that looks whole.
        it(`fails its call alone: ${response.name}`, async () => {
          malformed = response;
          const startedAt = processorNow();
          const result = await call(path, front).catch(() => undefined);
          expectFailure(result);
          expect(processorNow() - startedAt).toBeLessThan(FAILURE_MS);
          expect(uncaught).toEqual([]);
          expect(cluster.received.length).toEqual(1);
          malformed = undefined;
          const next = await call(path, front);
          expect([next.status, next.body]).toEqual([200, BODIES[path] ?? ""]);
        });
      }
    });
  }
}
