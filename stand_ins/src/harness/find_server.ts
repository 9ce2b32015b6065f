import { subscribe, unsubscribe } from "node:diagnostics_channel";
import {
  get,
  type IncomingMessage,
  type RequestOptions,
  type Server,
} from "node:http";
import { get as getTls } from "node:https";
import { connect } from "node:net";

const REQUEST_CHANNEL = "http.server.request.start";
const PROBE_PATH = "/find-server";
/** Errors that a server may report while it listens. */
const ACCEPT_ERRORS = ["EMFILE", "ENFILE", "ECONNABORTED", "ENOBUFS"];

/** What Node.js publishes about a request that a server begins to handle. */
interface RequestStart {
  request: IncomingMessage;
  server: Server;
}

/** Certificate and key with which to connect to a server with TLS. */
export interface ClientTls {
  cert: string;
  key: string;
}

/** Returns the HTTP server of this process that listens on an address. */
export function findServer(address: string, tls?: ClientTls): Promise<Server> {
  const [host, port] = address.split(":");
  return new Promise((resolve, reject) => {
    const onRequest = (message: unknown) => {
      const { request, server } = message as RequestStart;
      if (request.url !== PROBE_PATH) return;
      unsubscribe(REQUEST_CHANNEL, onRequest);
      resolve(server);
      request.socket.destroy();
    };
    subscribe(REQUEST_CHANNEL, onRequest);
    const opts: RequestOptions = { host, port, path: PROBE_PATH, agent: false };
    const req = tls
      ? getTls({ ...opts, ...tls, rejectUnauthorized: false })
      : get(opts);
    // Without effect once the server is found: the probe gets no response.
    req.on("error", reject);
  });
}

/**
 * Makes a server report each error of accepting a connection several times, as
 * it does while the process has no descriptors left.
 *
 * @throws {Error} the error if nothing listens for it, which ends a process
 */
export function failToAccept(server: Server): void {
  for (const code of ACCEPT_ERRORS) {
    const err = Object.assign(new Error(`accept ${code}`), { code });
    for (let i = 0; i < 3; i++) server.emit("error", err);
  }
}

/** Sends bytes that are no request to an address, and resets the connection. */
export function sendNoise(address: string): Promise<void> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) }, () => {
      socket.write("\x16\x03\x01noise\0\r\n\r\n", () => {
        socket.resetAndDestroy();
      });
    });
    socket.on("error", () => {});
    socket.on("close", () => resolve());
  });
}
