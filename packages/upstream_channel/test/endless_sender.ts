/**
 * Process that answers each request with chunks of one byte without end, and
 * tells the process that has started it the port on which it listens.
 *
 * @module
 */
import { type AddressInfo, createServer, type Socket } from "node:net";
import process from "node:process";

const HEAD = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const CHUNKS = Buffer.from("1\r\nx\r\n".repeat(100_000));

function sendEndlessly(socket: Socket): void {
  while (!socket.destroyed && socket.write(CHUNKS));
  if (!socket.destroyed) socket.once("drain", () => sendEndlessly(socket));
}

const server = createServer((socket) => {
  socket.on("error", () => {});
  socket.once("data", () => {
    socket.write(HEAD);
    sendEndlessly(socket);
  });
});
server.listen(0, "127.0.0.1", () => {
  process.send?.((server.address() as AddressInfo).port);
});
process.on("disconnect", () => process.exit());
