import type { Timer } from "@toucantrestle/timer";
import type { IncomingMessage, RequestListener } from "node:http";
import type { Socket } from "node:net";
import { lingerAtEnd } from "./lingering_end.ts";
import { stopReading } from "./pause.ts";
import { RequestsInRead } from "./requests_in_read.ts";

/** Most requests that are served of one read of a connection. */
const MAX_REQUESTS_PER_READ = 96;

/**
 * Wraps the listener of a server whose requests have no bodies and are answered
 * at once. A connection that brings a body, or too many requests, ends after the
 * answer to that request; 503 says that one of too many is not served.
 */
export function limitRequests(
  listener: RequestListener,
  timer: Timer,
): RequestListener {
  const reads = new WeakMap<Socket, RequestsInRead>();
  const ending = new WeakSet<Socket>();
  return (req, res) => {
    const { socket } = req;
    if (ending.has(socket)) return stopReading(req);
    const inRead = reads.get(socket) ?? new RequestsInRead(socket);
    reads.set(socket, inRead);
    const isExcess = inRead.add() > MAX_REQUESTS_PER_READ;
    if (!isExcess && !hasBody(req)) return listener(req, res);
    ending.add(socket);
    stopReading(req);
    lingerAtEnd(socket, timer);
    res.setHeader("connection", "close");
    if (isExcess) res.writeHead(503).end();
    else listener(req, res);
  };
}

function hasBody({ headers }: IncomingMessage): boolean {
  return headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) > 0;
}
