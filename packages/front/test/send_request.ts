import { type ClientRequest, type IncomingMessage, request } from "node:http";
import type { Socket } from "node:net";

/** Response as a caller received it. */
export interface CallResult {
  status: number;
  body: string;
  /** False if the connection closed before the response was complete. */
  isComplete: boolean;
  headers: IncomingMessage["headers"];
}

/** Sends a request to an address and reads the response. */
export function sendRequest(
  address: string,
  path: string,
  opts: { headers?: Record<string, string>; body?: string } = {},
): Promise<CallResult> {
  const url = new URL(`http://${address}`);
  return new Promise((resolve, reject) => {
    let hasResponse = false;
    let isReset = false;
    const req = request({
      host: url.hostname,
      port: url.port,
      path,
      method: opts.body === undefined ? "GET" : "POST",
      headers: { host: "x.example", ...opts.headers },
      agent: false,
    }, (res) => {
      hasResponse = true;
      let body = "";
      res.on("data", (chunk) => body += chunk);
      res.on("error", () => {});
      res.on("close", () =>
        resolve({
          status: res.statusCode ?? 0,
          body,
          isComplete: res.complete && !isReset,
          headers: res.headers,
        }));
    });
    onReset(req, () => isReset = true);
    // Node.js reports a response without a length as complete even if its
    // connection is reset.
    req.on("error", (err) => {
      isReset = true;
      if (!hasResponse) reject(err);
    });
    req.end(opts.body);
  });
}

/**
 * Calls `fn` if the connection of a request is reset, but reported as ended.
 * Node.js does so if the reset arrives together with bytes.
 */
export function onReset(req: ClientRequest, fn: () => void): void {
  req.on("socket", (socket) => {
    socket.prependListener("end", () => {
      if (wasReset(socket)) fn();
    });
  });
}

/**
 * Whether a connection that is reported as ended was reset: the system then
 * knows its other side no more. Nothing may read the address earlier, because it
 * is kept.
 */
function wasReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}
