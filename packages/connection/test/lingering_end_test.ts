import { createSystemTimer } from "@toucantrestle/timer";
import { expect } from "earl";
import { createServer, type RequestListener } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { describe, it } from "node:test";
import { lingerAtEnd } from "../src/lingering_end.ts";
import { stopReading } from "../src/pause.ts";

const HEAD = "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
const CHUNK = `10000\r\n${"x".repeat(65_536)}\r\n`;

/** Sends a body without end, and returns what it has read at the end. */
async function sendEndlessly(listener: RequestListener): Promise<string> {
  const server = createServer(listener);
  await new Promise<void>((resolve) => server.listen(0, resolve));
  const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
  let received = "";
  socket.on("data", (piece) => received += piece);
  socket.on("error", () => {});
  socket.write(HEAD);
  const send = () => {
    while (!socket.destroyed && socket.write(CHUNK));
  };
  socket.on("drain", send);
  send();
  await new Promise<void>((resolve) => socket.on("close", () => resolve()));
  server.close();
  return received;
}

describe("a peer that sends without end", () => {
  // Guards against a reset that takes the last response from its peer.
  it("reads the last response before the connection ends", async () => {
    const timer = createSystemTimer();
    const received = await sendEndlessly((req, res) => {
      stopReading(req);
      lingerAtEnd(req.socket, timer);
      res.writeHead(413, { connection: "close" }).end("too large");
    });
    expect(received.startsWith("HTTP/1.1 413 ")).toEqual(true);
  });
});
