import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import {
  CHUNKED_HEAD,
  MemoryFixtures,
  ONE_BYTE_CHUNKS,
  sendEndlessly,
} from "./memory_fixtures.ts";

const NESTED_COUNT = 4_000_000;
const SENDER_COUNT = 4;
/** Fragments of one byte each, of a message that goes on. */
const FIRST_FRAGMENT = Buffer.from([0x02, 0x81, 0, 0, 0, 0, 0]);
const NEXT_FRAGMENTS = Buffer.alloc(70_000).fill(
  Buffer.from([0x00, 0x81, 0, 0, 0, 0, 0]),
);
/** Head of a masked message of 60 MB. */
const LONG_MESSAGE = Buffer.from([
  ...[0x82, 0xff, 0, 0, 0, 0],
  ...[0x03, 0x93, 0x87, 0x00, 0, 0, 0, 0],
]);
const UPGRADE = "GET / HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\n" +
  "upgrade: websocket\r\nsec-websocket-version: 13\r\n" +
  "sec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n";

let fixtures: MemoryFixtures;

beforeEach(() => {
  fixtures = new MemoryFixtures();
});

afterEach(() => fixtures.close());

/** Answers that a faulty peer gives to each request. */
const ANSWERS: Record<string, (socket: Socket) => void> = {
  "in chunks of one byte": (socket) => {
    socket.write(CHUNKED_HEAD);
    sendEndlessly(socket, ONE_BYTE_CHUNKS);
  },
  "without a line end": (socket) => {
    socket.write("HTTP/1.1 200 OK\r\n\r\n");
    sendEndlessly(socket, Buffer.alloc(65_536, "x"));
  },
  "in nested lists": (socket) => {
    const body = `[${"[],".repeat(NESTED_COUNT)}0]`;
    socket.end(
      `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
    );
  },
};

describe("daemon whose peer answers without bounds", () => {
  for (const [name, answer] of Object.entries(ANSWERS)) {
    // Guards against responses that are kept piece by piece.
    it(`serves others: key-value service, ${name}`, async () => {
      const address = await fixtures.startPeer(answer);
      await fixtures.startDaemon({ "store-url": `http://${address}` });
      // A list may be as long as the memory of others; it is tried again.
      await fixtures.expectNoneLost();
    });

    // Guards against a watch that keeps what comes before the end of a line.
    it(`serves others: watch, ${name}`, async () => {
      const listing = '{"header":{"revision":"5"},"kvs":[]}';
      const address = await fixtures.startPeer((socket, text) => {
        if (text.startsWith("POST /v3/watch")) return answer(socket);
        socket.write(
          `HTTP/1.1 200 OK\r\ncontent-length: ${listing.length}\r\n\r\n` +
            listing,
        );
      });
      await fixtures.startDaemon({ "store-url": `http://${address}` });
      await fixtures.expectBystandersServed();
    });

    it(`serves others: host list, ${name}`, async () => {
      const address = await fixtures.startPeer(answer);
      const store = await fixtures.startStore({});
      await fixtures.startDaemon({
        "store-url": store,
        "host-list-url": `http://${address}`,
      });
      await fixtures.expectBystandersServed();
    });

    // Guards against load reports that are kept piece by piece.
    it(`serves others: engines, ${name}`, async () => {
      const address = await fixtures.startPeer(answer);
      const cells = {
        kind: "engine",
        address,
        data_centre: "dc",
        serves: ["small"],
        capacity: 16,
      };
      const rows = Array.from({ length: SENDER_COUNT }, (_, i) => ({
        id: `upstream/e${i}`,
        cells,
      }));
      const store = await fixtures.startStore({
        table: JSON.stringify({ revision: 1, rows, recentWrites: [] }),
      });
      await fixtures.startDaemon({ "store-url": store });
      await fixtures.expectBystandersServed();
    });
  }
});

describe("daemon that strangers dial as siblings", () => {
  const messages: Record<string, [first: Buffer, next: Buffer]> = {
    "fragments of one byte": [FIRST_FRAGMENT, NEXT_FRAGMENTS],
    "a message of 60 MB": [LONG_MESSAGE, Buffer.alloc(65_536)],
  };
  for (const [name, [first, next]] of Object.entries(messages)) {
    // Guards against a message that is kept before its sender is known.
    it(`serves others while they send ${name}`, async () => {
      const store = await fixtures.startStore({});
      await fixtures.startDaemon({ "store-url": store });
      for (let i = 0; i < SENDER_COUNT; i++) {
        const socket = fixtures.open(fixtures.daemon.siblingAddress);
        socket.write(UPGRADE);
        socket.once("data", () => {
          socket.write(first);
          sendEndlessly(socket, next);
        });
      }
      await fixtures.expectBystandersServed();
    });
  }
});
