import { expect } from "earl";
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import type { Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import {
  MemoryFixtures,
  ONE_BYTE_CHUNKS,
  sendEndlessly,
} from "./memory_fixtures.ts";

const KEY = "caller-key";
const SENDER_COUNT = 4;
/** Requests that a caller sends at once. */
const PIPELINED_BYTES = 500_000;
/** Its program has no owner, so that each waits for some seconds. */
const PIPELINED_REQUEST =
  `GET /v1/programs/p00-a HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${KEY}\r\n\r\n`;
/** Below the largest body. */
const NESTED_BYTES = 7_900_000;

let fixtures: MemoryFixtures;

beforeEach(async () => {
  fixtures = new MemoryFixtures();
  const hash = createHash("sha256").update(KEY).digest("hex");
  const store = await fixtures.startStore({
    [`keys/${hash}`]: '{"name":"x","role":"caller","createdAt":1}',
  });
  await fixtures.startDaemon({ "store-url": store });
});

afterEach(() => fixtures.close());

/** Returns the head of a request with a body in chunks. */
function headOf(requestLine: string, key: string | undefined): string {
  const authorization = key ? `authorization: Bearer ${key}\r\n` : "";
  return `${requestLine} HTTP/1.1\r\nhost: x\r\n${authorization}` +
    "transfer-encoding: chunked\r\n\r\n";
}

/** Starts a request whose body comes in chunks of one byte, without end. */
function sendEndlessBody(requestLine: string, key: string | undefined): Socket {
  const socket = fixtures.open(fixtures.daemon.address);
  socket.write(headOf(requestLine, key));
  sendEndlessly(socket, ONE_BYTE_CHUNKS);
  return socket;
}

describe("daemon with a caller that sends a body without end", () => {
  // Guards against a list of one buffer for each chunk of one byte.
  it("keeps no more than its bytes for chunks of one byte", async () => {
    for (let i = 0; i < SENDER_COUNT; i++) {
      sendEndlessBody("POST /v1/chat/completions", KEY);
    }
    await fixtures.expectBystandersServed();
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
      await fixtures.expectBystandersServed();
      expect(senders.map((it) => it.destroyed)).toEqual(
        senders.map(() => true),
      );
    });
  }
});

describe("daemon with a caller that sends a body of many values", () => {
  // Guards against values that take many times the memory of their text.
  it("refuses it", async () => {
    const text = `[${"[],".repeat(NESTED_BYTES / 3)}0]`;
    const body = `${text.length.toString(16)}\r\n${text}\r\n0\r\n\r\n`;
    const socket = fixtures.open(fixtures.daemon.address);
    socket.write(headOf("POST /v1/chat/completions", KEY) + body);
    await fixtures.expectBystandersServed();
  });
});

describe("daemon with a caller that sends many requests at once", () => {
  // Guards against requests of one connection that are kept without a bound.
  it("keeps a bounded number of them open", async () => {
    const count = Math.ceil(PIPELINED_BYTES / PIPELINED_REQUEST.length);
    for (let i = 0; i < SENDER_COUNT; i++) {
      const socket = fixtures.open(fixtures.daemon.address);
      socket.pause();
      sendEndlessly(socket, Buffer.from(PIPELINED_REQUEST.repeat(count)));
    }
    await fixtures.expectBystandersServed();
  });
});
