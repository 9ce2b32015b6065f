import { expect } from "earl";
import { type AddressInfo, createServer, type Server } from "node:net";
import { afterEach, describe, it } from "node:test";
import { sendRequest } from "./send_request.ts";

/** Responses without a length, as they are sent before the connection ends. */
const BODIES = ["", "x", "x".repeat(300_000)];

let server: Server;

afterEach(() => server.close());

/** Starts a server that sends a body and ends the connection at once. */
async function serve(
  body: string,
  ending: "close" | "reset",
): Promise<string> {
  server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write(`HTTP/1.1 200 OK\r\n\r\n${body}`, () => {
        if (ending === "reset") socket.resetAndDestroy();
        else socket.end();
      });
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

describe("a caller of a response without a length", () => {
  for (const body of BODIES) {
    // Guards against tests that take a reset for the end of a body, because
    // both were read at once.
    it(`sees that it was reset after ${body.length} bytes`, async () => {
      const result = await sendRequest(await serve(body, "reset"), "/")
        .catch(() => undefined);
      expect(result?.isComplete ?? false).toEqual(false);
    });

    it(`sees that it ended after ${body.length} bytes`, async () => {
      const result = await sendRequest(await serve(body, "close"), "/");
      expect([result.isComplete, result.body]).toEqual([true, body]);
    });
  }
});
