import { createNoopLoggers } from "@toucantrestle/log";
import { createSystemTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { type AddressInfo, createServer, type Server, Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { ChannelPool, type ChannelPoolOptions } from "../src/mod.ts";

/** Longer than a connection may take. */
const HOLD_UP_MS = 1_000;

let server: Server;
let pool: ChannelPool;

beforeEach(async () => {
  server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once(
      "data",
      () => socket.end("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"),
    );
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
});

afterEach(() => {
  pool.close();
  server.close();
});

/** Sends a request, and returns the status or the reason of the failure. */
function send(
  opts: Pick<ChannelPoolOptions, "dial"> = {},
): Promise<number | string> {
  const { port } = server.address() as AddressInfo;
  pool = new ChannelPool({
    address: `127.0.0.1:${port}`,
    timer: createSystemTimer(),
    log: createNoopLoggers()("upstream"),
    ...opts,
  });
  return new Promise((resolve) => {
    pool.send(
      { id: "r", method: "GET", path: "/", headers: [], body: Buffer.alloc(0) },
      {
        onHead: ({ status }) => resolve(status),
        onData() {},
        onEnd() {},
        onFailure: ({ reason }) => resolve(reason),
      },
    );
  });
}

/** Keeps this process from doing anything else. */
function blockFor(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}

describe("a connection to an upstream", () => {
  // Guards against upstreams that are left alone because this process was held
  // up: hundreds of requests that came at once did that.
  it("is used if it was accepted while this process was held up", async () => {
    const status = send();
    blockFor(HOLD_UP_MS);
    expect(await status).toEqual(200);
  });

  it("is given up if it is neither accepted nor refused", async () => {
    expect(await send({ dial: () => new Socket() })).toEqual("connect_timeout");
  });
});
