import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

const HEADER_TOO_LARGE = "HPE_HEADER_OVERFLOW";
const TIMED_OUT = "ERR_HTTP_REQUEST_TIMEOUT";

/** Responses to what is no request, by error code. */
const STATUS_LINES: Record<string, string> = {
  [HEADER_TOO_LARGE]: "431 Request Header Fields Too Large",
  [TIMED_OUT]: "408 Request Timeout",
};

/**
 * Answers malformed and incomplete request heads. Node.js would send the
 * response even while an earlier request on the connection is in progress, whose
 * caller would take a 408 as the assurance that it has not run.
 */
export function answerClientErrors(server: Server): void {
  const openRequests = new WeakMap<Duplex, number>();
  const add = (socket: Duplex, count: number) =>
    openRequests.set(socket, (openRequests.get(socket) ?? 0) + count);
  server.prependListener(
    "request",
    ({ socket }: IncomingMessage, res: ServerResponse) => {
      add(socket, 1);
      res.once("close", () => add(socket, -1));
    },
  );
  server.on("clientError", (err: NodeJS.ErrnoException, socket) => {
    if (socket.writable && !openRequests.get(socket)) {
      const status = STATUS_LINES[err.code ?? ""] ?? "400 Bad Request";
      socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
    }
    socket.destroy(err);
  });
}
