import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { closeAfter, type OpenRequest } from "./caller_connection.ts";
import type { CallerConnections } from "./caller_connections.ts";
import { sendText } from "./responses.ts";

const HEADER_TOO_LARGE = "HPE_HEADER_OVERFLOW";
const TIMED_OUT = "ERR_HTTP_REQUEST_TIMEOUT";
/** Prefix of the codes of errors that the parser finds. */
const PARSER_CODES = "HPE_";

const BAD_REQUEST = "400 Bad Request";

/** Responses to what is no request, by error code. */
const STATUS_LINES: Record<string, string> = {
  [HEADER_TOO_LARGE]: "431 Request Header Fields Too Large",
  [TIMED_OUT]: "408 Request Timeout",
};

/**
 * Answers malformed and incomplete requests. Node.js would send the response
 * even while an earlier request on the connection is in progress, whose caller
 * would take a 408 as the assurance that it has not run.
 */
export function answerClientErrors(
  server: Server,
  connections: CallerConnections,
): void {
  server.on("clientError", (err: NodeJS.ErrnoException, stream) => {
    const socket = stream as Socket;
    const connection = connections.of(socket);
    if (!connection || hasCallerLeft(socket, err)) return socket.destroy(err);
    const incomplete = connection.open.find((it) => !it.req.complete);
    if (incomplete && !incomplete.res.headersSent) answerIncomplete(incomplete);
    else connection.endWithError(STATUS_LINES[err.code ?? ""] ?? BAD_REQUEST);
  });
  server.on("connect", (_req: IncomingMessage, stream) => {
    const socket = stream as Socket;
    // The server library no longer listens to this connection.
    socket.on("error", () => {});
    socket.resume();
    connections.of(socket)?.endWithError(BAD_REQUEST);
  });
  server.on("checkExpectation", (req: IncomingMessage, res: ServerResponse) => {
    if (!connections.add(req, res)) return;
    closeAfter(res);
    res.writeHead(417).end();
  });
}

/** Whether a connection ends because its caller has left. */
function hasCallerLeft(socket: Socket, { code }: NodeJS.ErrnoException) {
  const isProtocolError = code === TIMED_OUT || code?.startsWith(PARSER_CODES);
  return !isProtocolError || socket.readableEnded;
}

/** Answers a request whose body is malformed. */
function answerIncomplete({ res }: OpenRequest): void {
  closeAfter(res);
  sendText(res, 400, "request body is malformed");
}
