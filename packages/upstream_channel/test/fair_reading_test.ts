import { createNoopLoggers } from "@toucantrestle/log";
import { createSystemTimer, type Timer } from "@toucantrestle/timer";
import { expect } from "earl";
import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server } from "node:net";
import process from "node:process";
import { after, before, describe, it } from "node:test";
import { ChannelPool, type ExchangeControl } from "../src/mod.ts";

const CHUNK = "1\r\nx\r\n";
const CHUNKS = 100_000;
const HEAD = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const END = "0\r\n\r\n";
/** One read that had arrived before the pause, and the next one. */
const MAX_READS_A_TURN = 2;
const READ_BYTES = 65_536;
const CONNECTIONS = 8;

describe("a response in tiny chunks that has arrived", () => {
  let server: Server;
  /** Resolves once the system has taken all bytes of the response. */
  let written: Promise<void>;

  before(async () => {
    server = createServer((socket) => {
      socket.on("error", () => {});
      socket.once("data", () => {
        socket.write(HEAD);
        written = new Promise((resolve) =>
          socket.write(CHUNK.repeat(CHUNKS) + END, () => resolve())
        );
      });
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
  });

  after(() => {
    server.close();
  });

  // Guards against one sender whose bytes keep the event loop for long.
  it("is not read in one turn of the event loop", async () => {
    const { port } = server.address() as AddressInfo;
    const pool = new ChannelPool({
      address: `127.0.0.1:${port}`,
      timer: createSystemTimer(),
      log: createNoopLoggers()("upstream"),
    });
    let control: ExchangeControl | undefined;
    let bytes = 0;
    let readsThisTurn = 0;
    let mostReads = 0;
    await new Promise<void>((resolve, reject) => {
      const countTurn = () => {
        readsThisTurn = 0;
        if (bytes < CHUNKS) setImmediate(countTurn);
      };
      control = pool.send(
        {
          id: "r",
          method: "GET",
          path: "/",
          headers: [],
          body: Buffer.alloc(0),
        },
        {
          async onHead() {
            control?.pause();
            await new Promise<void>((next) => setImmediate(next));
            await written;
            countTurn();
            control?.resume();
          },
          onData(chunk) {
            bytes += chunk.length;
            readsThisTurn += 1;
            mostReads = Math.max(mostReads, readsThisTurn);
          },
          onEnd: resolve,
          onFailure: ({ reason }) => reject(new Error(reason)),
        },
      );
    });
    pool.close();
    expect(bytes).toEqual(CHUNKS);
    expect(CHUNKS * CHUNK.length > 2 * MAX_READS_A_TURN * READ_BYTES)
      .toEqual(true);
    expect(mostReads <= MAX_READS_A_TURN).toEqual(true);
  });
});

/** What the reader of an endless body does with a part of it. */
const READERS: Record<string, (control: ExchangeControl | undefined) => void> =
  {
    "takes all": () => {},
    // As a front does whose caller takes a part at once.
    "holds back for a tick": (control) => {
      control?.pause();
      process.nextTick(() => control?.resume());
    },
  };
const ENDLESS_BYTES = 3_000_000;
/** The first reads of all connections may come in one turn. */
const FIRST_BYTES = 200_000;

/** Returns a timer for which each look at the clock comes 1 ms later. */
function createSlowClock(): Timer {
  const timer = createSystemTimer();
  let looks = 0;
  timer.monotonicNow = () => looks++;
  return timer;
}

describe("responses of another process in tiny chunks without end", () => {
  let sender: ChildProcess;
  let port: unknown;

  before(async () => {
    sender = fork(new URL("./endless_sender.js", import.meta.url));
    [port] = await once(sender, "message");
  });

  after(() => {
    sender.disconnect();
  });

  /** Reads some of each response; returns the most reads of a turn. */
  async function readSome(
    count: number,
    onPart: (control: ExchangeControl | undefined) => void,
  ): Promise<number> {
    const pool = new ChannelPool({
      address: `127.0.0.1:${port}`,
      timer: createSlowClock(),
      log: createNoopLoggers()("upstream"),
    });
    let isOver = false;
    let bytes = 0;
    let readsThisTurn = 0;
    let mostReads = 0;
    const countTurn = () => {
      readsThisTurn = 0;
      if (!isOver) setImmediate(countTurn);
    };
    countTurn();
    await new Promise<void>((resolve, reject) => {
      for (let i = 0; i < count; i++) {
        const control: ExchangeControl = pool.send(
          {
            id: `r${i}`,
            method: "GET",
            path: "/",
            headers: [],
            body: Buffer.alloc(0),
          },
          {
            onHead() {},
            onData(chunk) {
              bytes += chunk.length;
              readsThisTurn += 1;
              if (bytes > count * FIRST_BYTES) {
                mostReads = Math.max(mostReads, readsThisTurn);
              }
              onPart(control);
              if (bytes >= count * ENDLESS_BYTES) resolve();
            },
            onEnd: () => reject(new Error("the response has an end")),
            onFailure: ({ reason }) => {
              if (!isOver) reject(new Error(reason));
            },
          },
        );
      }
    });
    isOver = true;
    pool.close();
    return mostReads;
  }

  // Guards against one sender that keeps the event loop although its reader,
  // too, holds it back at each part.
  for (const [name, onPart] of Object.entries(READERS)) {
    it(`are read on in the next turn by one who ${name}`, async () => {
      const mostReads = await readSome(1, onPart);
      expect(mostReads <= MAX_READS_A_TURN).toEqual(true);
    });
  }

  // Guards against senders that keep the event loop one after another.
  it("wait for their turns behind each other", async () => {
    const mostReads = await readSome(CONNECTIONS, () => {});
    expect(mostReads <= MAX_READS_A_TURN).toEqual(true);
  });
});
