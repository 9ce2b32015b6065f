import { expect } from "earl";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { describe, it } from "node:test";
import { ReadTurns } from "../src/read_turns.ts";

/** Largest read of a connection, in bytes. */
const READ_BYTES = 65_536;
const PIECES = 100_000;
const PIECE = "1\r\nx\r\n";

describe("ReadTurns", () => {
  // Guards against a body in tiny pieces that keeps the event loop to itself.
  it("reads a connection once in a turn, and the whole body", async () => {
    const turns = new ReadTurns();
    let [received, inTurn, mostInTurn] = [0, 0, 0];
    const server = createServer((req, res) => {
      req.on("data", () => {
        if (inTurn === 0) setImmediate(() => inTurn = 0);
        received += 1;
        inTurn += 1;
        mostInTurn = Math.max(mostInTurn, inTurn);
        turns.defer(req.socket);
      });
      req.on("end", () => res.end());
    });
    await new Promise<void>((resolve) => server.listen(0, resolve));
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
    socket.write(
      "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n" +
        `${PIECE.repeat(PIECES)}0\r\n\r\n`,
    );
    await new Promise((resolve) => socket.once("data", resolve));
    socket.destroy();
    server.close();
    expect(received).toEqual(PIECES);
    // The first read begins before the first piece can pause the connection.
    expect(mostInTurn <= 2 * Math.ceil(READ_BYTES / PIECE.length)).toEqual(
      true,
    );
  });
});
