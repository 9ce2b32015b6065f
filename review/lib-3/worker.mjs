// Stand-in of a worker (PROTOCOL.md, "Workers"): a model worker that writes
// event streams, or a plain service. It registers itself in the store.
import { createServer } from "node:http";
import { setTimeout as delay } from "node:timers/promises";

const BEAT_MS = 1_200;

export class Worker {
  /** Requests that began to run: { id, at, body, headers, events }. */
  runs = [];
  /** Ids of the requests whose heads have arrived. */
  heads = new Set();
  #open = new Set();

  /**
   * `stream(run)` of a model worker returns { events, gapMs, firstMs }; a plain
   * one has `workMs`. `onRun` is called when a request begins to run.
   */
  constructor(opts) {
    this.opts = { zone: "north", version: "1", slots: 16, workMs: 20, ...opts };
    this.id = opts.id;
  }

  async start() {
    const { store, host } = this.opts;
    this.born = Date.now();
    this.seq = 0;
    this.isDraining = false;
    this.server = createServer((req, res) => this.#serve(req, res));
    this.server.keepAliveTimeout = 10_000;
    this.server.on("connection", (socket) => {
      this.#open.add(socket);
      socket.on("error", () => {});
      socket.on("close", () => this.#open.delete(socket));
    });
    await new Promise((done) => this.server.listen(this.port ?? 0, host, done));
    this.port = this.server.address().port;
    this.isUp = true;
    this.#register(store);
    this.beat = setInterval(() => this.#register(store), BEAT_MS);
  }

  #register(store) {
    const { service, zone, version, slots } = this.opts;
    store.put(`servers/${this.id}`, {
      service,
      address: `${this.opts.host}:${this.port}`,
      zone,
      version,
      slots,
      state: this.isDraining ? "draining" : "ready",
      coldLeftMs: 0,
      seq: ++this.seq,
      born: this.born,
    });
  }

  /** Ends as a crash does: its channels are reset. The entry lapses later. */
  crash() {
    this.isUp = false;
    clearInterval(this.beat);
    this.server.close();
    for (const socket of this.#open) socket.resetAndDestroy();
  }

  close() {
    clearInterval(this.beat);
    this.server.closeAllConnections();
    this.server.close();
  }

  async #serve(req, res) {
    const chunks = [];
    this.heads.add(req.headers["request-id"]);
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      return;
    }
    const headers = {};
    const id = req.headers["request-id"];
    if (id !== undefined) headers["Request-Id"] = id;
    const expected = req.headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      return res.writeHead(421, { ...headers, "Not-Executed": "1" }).end();
    }
    if (req.url === "/health") {
      return res.writeHead(200, { "Instance-Id": this.id }).end();
    }
    if (req.url.startsWith("/v1/report")) {
      const report = {
        stage: "both",
        models: [{ name: "m", version: 1, adapters: [] }],
        busy: false,
        seq: 0,
        waiting: 0,
        running: 0,
        kvUsed: 0,
        kvTotal: 90_000,
        handles: 0,
        born: this.born,
      };
      return res.writeHead(200, { "Content-Type": "application/json" }).end(
        JSON.stringify(report),
      );
    }
    if (id === undefined) {
      return res.writeHead(400, { "Not-Executed": "1" }).end();
    }
    const run = {
      id,
      at: Date.now(),
      body: Buffer.concat(chunks),
      headers: req.headers,
      url: req.url,
      method: req.method,
      events: 0,
      worker: this.id,
      socket: req.socket,
      isOver: false,
    };
    this.runs.push(run);
    this.opts.onRun?.(run);
    headers["Server-Seal"] = `seal.${this.id}.${id}`;
    Object.assign(headers, this.opts.extraHeaders?.(this, run) ?? {});
    res.on("close", () => run.isOver = true);
    if (this.opts.stream) await this.#stream(res, run, headers);
    else await this.#plain(res, run, headers);
  }

  async #plain(res, run, headers) {
    const body = Buffer.from(`${this.id} ran ${run.id}\n`);
    await delay(this.opts.workMs);
    if (res.destroyed) return;
    res.writeHead(200, { ...headers, "Content-Length": body.length }).end(body);
  }

  async #stream(res, run, headers) {
    const { events, gapMs, firstMs = gapMs } = this.opts.stream(run);
    const first = Number(run.headers["last-event-id"] ?? 0) + 1;
    res.on("error", () => {});
    await delay(firstMs);
    if (res.destroyed) return;
    res.writeHead(200, { ...headers, "Content-Type": "text/event-stream" });
    for (let i = first; i <= events; i++) {
      if (i > first) await delay(gapMs);
      if (res.destroyed) return;
      run.events += 1;
      res.write(`id: ${i}\ndata: ${run.id.slice(0, 6)}-${i}\n\n`);
    }
    res.end();
  }
}
