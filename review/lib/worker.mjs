// Stand-in of a worker (PROTOCOL.md, "Workers"). It answers as a sound worker,
// unless `garble` is set, which gets the socket and decides what is sent.
import { createServer } from "node:net";

const BEAT_MS = 1_200;
let nextSeal = 1;

export function sealOf() {
  return `3e1b.07.${(nextSeal++).toString(16)}.600.0.c9f2a4d1`;
}

/** The whole body of the plain answer to a request: 800 bytes. */
export function bodyOf(id) {
  return `${id} `.repeat(800).slice(0, 800);
}

export class Worker {
  /** Requests that this worker began to work on. */
  runs = [];
  #sockets = new Set();
  #seq = 0;
  #ways = [];
  #beat;
  /** Called with a request; returns true if it has answered it itself. */
  onRequest = undefined;

  constructor(
    {
      id,
      service,
      ip,
      zone = "sala-norte",
      store,
      record,
      slots = 64,
      version = "v1",
    },
  ) {
    Object.assign(this, {
      id,
      service,
      ip,
      zone,
      store,
      record,
      slots,
      version,
    });
    this.born = Date.now();
    this.state = "ready";
    this.server = createServer((socket) => this.#accept(socket));
  }

  async start() {
    await new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(0, this.ip, resolve);
    });
    this.address = `${this.ip}:${this.server.address().port}`;
    this.#register();
    this.#beat = setInterval(() => this.#register(), BEAT_MS);
  }

  /** Opens one more address, for the way of one machine to this worker. */
  async openWay(ip) {
    const sockets = new Set();
    const server = createServer((socket) => {
      sockets.add(socket);
      socket.on("close", () => sockets.delete(socket));
      this.#accept(socket);
    });
    await new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(0, ip, resolve);
    });
    this.#ways.push(server);
    const { port } = server.address();
    return {
      address: `${ip}:${port}`,
      /** Cuts the way: channels are reset, and new ones refused. */
      cut() {
        server.close();
        for (const socket of sockets) socket.resetAndDestroy();
      },
      restore: () => new Promise((resolve) => server.listen(port, ip, resolve)),
    };
  }

  /** Crashes: all channels close, and the worker is back after some time. */
  async crash(backAfterMs) {
    const { port } = this.server.address();
    clearInterval(this.#beat);
    this.server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
    await new Promise((resolve) => setTimeout(resolve, backAfterMs));
    if (this.isStopped) return;
    this.server.listen(port, this.ip, () => {
      this.born = Date.now();
      this.#seq = 0;
      this.#register();
      this.#beat = setInterval(() => this.#register(), BEAT_MS);
    });
  }

  stop() {
    this.isStopped = true;
    for (const server of this.#ways) server.close();
    clearInterval(this.#beat);
    for (const socket of this.#sockets) socket.destroy();
    this.server.close();
  }

  #register() {
    this.#seq += 1;
    this.store.put(`servers/${this.id}`, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: this.version,
      slots: this.slots,
      state: this.state,
      coldLeftMs: 0,
      seq: this.#seq,
      born: this.born,
    });
  }

  #accept(socket) {
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("error", () => {});
    socket.on("close", () => this.#sockets.delete(socket));
    let pending = Buffer.alloc(0);
    let isBusy = false;
    const next = async () => {
      if (isBusy) return;
      const end = pending.indexOf("\r\n\r\n");
      if (end < 0) return;
      const [line, ...lines] = pending.subarray(0, end).toString("latin1")
        .split("\r\n");
      const headers = new Map(lines.map((it) => {
        const colon = it.indexOf(":");
        return [it.slice(0, colon).toLowerCase(), it.slice(colon + 1).trim()];
      }));
      const length = Number(headers.get("content-length") ?? 0);
      if (pending.length < end + 4 + length) return;
      const body = pending.subarray(end + 4, end + 4 + length);
      pending = pending.subarray(end + 4 + length);
      const [method, path] = line.split(" ");
      isBusy = true;
      await this.#serve({ method, path, headers, body, socket });
      isBusy = false;
      next();
    };
    socket.on("data", (chunk) => {
      pending = Buffer.concat([pending, chunk]);
      next();
    });
  }

  async #serve(req) {
    const { method, path, headers, socket } = req;
    if (path === "/health") {
      return this.#send(socket, 200, { "Instance-Id": this.id }, "");
    }
    if (path === "/v1/report") {
      return this.#send(
        socket,
        200,
        {},
        JSON.stringify({
          stage: "both",
          models: [{ name: "m", version: 1, adapters: [] }],
          busy: false,
          seq: 1,
          waiting: 0,
          running: 0,
          kvUsed: 0,
          kvTotal: 90_000,
          handles: 0,
        }),
      );
    }
    const id = headers.get("request-id");
    const expected = headers.get("expect-instance");
    if (!id || (expected && expected !== this.id)) {
      this.record(`${this.id}: rejects ${id}`);
      return this.#send(socket, id ? 421 : 400, {
        "Request-Id": id ?? "",
        "Not-Executed": "1",
      }, "");
    }
    const run = {
      id,
      method,
      path,
      headers,
      body: req.body.toString(),
      at: performance.now(),
    };
    this.runs.push(run);
    this.record(
      `${this.id}: runs ${id} ${method} ${path}, body ${req.body.length} bytes`,
    );
    if (await this.onRequest?.(req, run)) return;
    await this.answer(req);
  }

  /** A sound answer: a short text, or events as `Token-Count` allows. */
  async answer(req, { events = 4, eventMs = 20 } = {}) {
    const { socket, headers } = req;
    const id = headers.get("request-id");
    const head = { "Request-Id": id, "Server-Seal": sealOf() };
    if (!headers.has("token-count")) {
      return this.#send(socket, 200, head, bodyOf(id));
    }
    socket.write(headText(200, {
      ...head,
      "Content-Type": "text/event-stream",
      "Transfer-Encoding": "chunked",
    }));
    const first = Number(headers.get("last-event-id") ?? 0) + 1;
    for (let i = first; i <= events; i++) {
      await new Promise((resolve) => setTimeout(resolve, eventMs));
      if (socket.destroyed) return;
      socket.write(chunkOf(`id: ${i}\ndata: ${id}-${i}\n\n`));
    }
    socket.write("0\r\n\r\n");
  }

  #send(socket, status, headers, body) {
    socket.write(
      headText(status, {
        ...headers,
        "Content-Length": String(Buffer.byteLength(body)),
      }) + body,
    );
  }
}

export function headText(status, headers) {
  const lines = Object.entries(headers).map(([name, value]) =>
    `${name}: ${value}\r\n`
  );
  return `HTTP/1.1 ${status} OK\r\n${lines.join("")}\r\n`;
}

export function chunkOf(text) {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}
