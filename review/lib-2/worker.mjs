/**
 * Stand-in of a worker: an HTTP server whose answers a case writes itself.
 *
 * @module
 */
import { createServer } from "node:net";

/** Worker that reads whole requests and hands each to a function. */
export class Worker {
  #sockets = new Set();
  #server = createServer((socket) => this.#accept(socket));
  #answer;
  id;
  /** Unix millisecond of its start. */
  born = Date.now();
  address = "";

  /** `answer` gets the parts of a request with its socket. */
  constructor(id, answer) {
    this.id = id;
    this.#answer = answer;
  }

  async listen() {
    await new Promise((done) => this.#server.listen(0, "127.0.0.1", done));
    this.address = `127.0.0.1:${this.#server.address().port}`;
    return this.address;
  }

  close() {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }

  /** Returns what the worker writes to the platform's store. */
  entry(service, seq = 1) {
    return {
      service,
      address: this.address,
      zone: "north",
      version: "v1",
      slots: 16,
      state: "ready",
      coldLeftMs: 0,
      seq,
      born: this.born,
    };
  }

  #accept(socket) {
    this.#sockets.add(socket);
    socket.on("close", () => this.#sockets.delete(socket));
    socket.on("error", () => {});
    let bytes = Buffer.alloc(0);
    socket.on("data", (chunk) => {
      bytes = Buffer.concat([bytes, chunk]);
      bytes = this.#take(bytes, socket);
    });
  }

  /** Hands on the whole requests in some bytes; returns the other bytes. */
  #take(bytes, socket) {
    while (true) {
      const end = bytes.indexOf("\r\n\r\n");
      if (end < 0) return bytes;
      const [first, ...lines] = bytes.toString("latin1", 0, end).split("\r\n");
      const headers = Object.fromEntries(
        lines.map((it) => {
          const colon = it.indexOf(":");
          return [it.slice(0, colon).toLowerCase(), it.slice(colon + 1).trim()];
        }),
      );
      const bodyEnd = end + 4 + Number(headers["content-length"] ?? 0);
      if (bytes.length < bodyEnd) return bytes;
      const [method, path] = first.split(" ");
      const body = bytes.subarray(end + 4, bodyEnd);
      bytes = bytes.subarray(bodyEnd);
      this.#handle({ method, path, headers, body, socket, worker: this });
    }
  }

  #handle(req) {
    if (req.path === "/v1/report") return sendReport(req);
    const expected = req.headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      return sendWhole(req, { status: "421 Misdirected", body: "" });
    }
    this.#answer(req);
  }
}

/** Returns the head of an answer. */
export function headOf(req, { status = "200 OK", headers = {} } = {}) {
  const all = {
    "Request-Id": req.headers["request-id"] ?? "",
    "Server-Seal": `seal-${req.worker.id}-${req.headers["request-id"]}`,
    ...headers,
  };
  const lines = Object.entries(all).map(([k, v]) => `${k}: ${v}\r\n`);
  return `HTTP/1.1 ${status}\r\n${lines.join("")}\r\n`;
}

/** Sends an answer with a length. */
export function sendWhole(req, { status, body, headers = {} }) {
  const bytes = Buffer.from(body);
  const framing = { "Content-Length": bytes.length, ...headers };
  req.socket.write(headOf(req, { status, headers: framing }));
  req.socket.write(bytes);
}

function sendReport(req) {
  const body = JSON.stringify({
    stage: "both",
    models: [{ name: "m", version: 1, adapters: [] }],
    busy: false,
    seq: 1,
    waiting: 0,
    running: 0,
    kvUsed: 0,
    kvTotal: 90_000,
    handles: 0,
    born: req.worker.born,
  });
  req.socket.write(
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" +
      `Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
  );
}
