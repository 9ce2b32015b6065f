import { expect } from "earl";
import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { createHttpSink } from "../src/http_sink.ts";

const EVENT = "x".repeat(100_000);
const EVENT_COUNT = 300;
const MAX_UNREAD_BYTES = 4_000_000;
const START = { status: 200, contentType: "text/event-stream" };

let server: Server;
let caller: Socket;
let res: ServerResponse;

beforeEach(async () => {
  server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  caller = connect(port, "127.0.0.1");
  caller.on("error", () => {});
  caller.write("GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
  [, res] = await once(server, "request");
});

afterEach(() => {
  caller.destroy();
  server.close();
});

describe("response to a caller that does not read", () => {
  // Guards against a stream of which all is kept for its caller.
  it("is cut once too much of it is unread", () => {
    caller.pause();
    const sink = createHttpSink(res);
    sink.head(START);
    let mostUnread = 0;
    for (let i = 0; i < EVENT_COUNT; i++) {
      sink.data(EVENT);
      mostUnread = Math.max(mostUnread, res.writableLength);
    }
    expect(res.destroyed).toEqual(true);
    expect(mostUnread).toBeLessThan(MAX_UNREAD_BYTES + 2 * EVENT.length);
  });

  it("is kept if it comes in one piece", () => {
    caller.pause();
    const sink = createHttpSink(res);
    sink.head(START);
    sink.data(EVENT.repeat(EVENT_COUNT));
    sink.end();
    expect(res.destroyed).toEqual(false);
  });
});

describe("response to a caller that reads", () => {
  // Guards against a recorded response that can never be delivered.
  it("is sent whole if its first piece is large", async () => {
    let readBytes = 0;
    caller.on("data", (chunk) => readBytes += chunk.length);
    const sink = createHttpSink(res);
    sink.head(START);
    sink.data(EVENT.repeat(EVENT_COUNT));
    for (let i = 0; i < 3; i++) sink.data("end");
    sink.end();
    await once(caller, "close");
    expect(res.writableFinished).toEqual(true);
    expect(readBytes).toBeGreaterThan(EVENT.length * EVENT_COUNT);
  });

  it("is sent whole, however long it is", async () => {
    let readBytes = 0;
    caller.on("data", (chunk) => readBytes += chunk.length);
    const sink = createHttpSink(res);
    sink.head(START);
    for (let i = 0; i < EVENT_COUNT; i++) {
      sink.data(EVENT);
      if (res.writableNeedDrain) await once(res, "drain");
    }
    sink.end();
    await once(caller, "end");
    expect(readBytes).toBeGreaterThan(EVENT.length * EVENT_COUNT);
  });
});
