import { createNoopLoggers } from "@toucantrestle/log";
import { createSystemTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { type AddressInfo, createServer, type Server } from "node:net";
import { after, before, describe, it } from "node:test";
import { ChannelPool, type ExchangeControl } from "../src/mod.ts";

const CHUNK = "1\r\nx\r\n";
const CHUNKS = 100_000;
const HEAD = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const END = "0\r\n\r\n";
/** One read that had arrived before the pause, and the next one. */
const MAX_READS_A_TURN = 2;
const READ_BYTES = 65_536;

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
