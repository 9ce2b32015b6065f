/**
 * Stand-in of the platform's key-value store, as `PROTOCOL.md` describes it.
 *
 * @module
 */
import { createServer } from "node:http";

/** Key-value store with watches, transactions and leases. */
export class Store {
  #items = new Map();
  #changes = [];
  #rev = 1;
  #leases = new Map();
  #nextLease = 1;
  #waiting = new Set();
  #server = createServer((req, res) => this.#serve(req, res));
  /** While true, every call is cut without an answer. */
  isDown = false;
  /** Returns whether a call is cut without an answer; by its path and body. */
  cuts = () => false;

  async listen() {
    await new Promise((done) => this.#server.listen(0, "127.0.0.1", done));
    this.#sweep = setInterval(() => this.#expire(), 100);
    return `127.0.0.1:${this.#server.address().port}`;
  }

  #sweep;

  close() {
    clearInterval(this.#sweep);
    this.#server.closeAllConnections();
    this.#server.close();
  }

  put(key, value, lease = 0) {
    const text = typeof value === "string" ? value : JSON.stringify(value);
    this.#put(key, Buffer.from(text).toString("base64"), lease);
  }

  remove(key) {
    if (!this.#items.delete(key)) return;
    this.#add({ key, rev: ++this.#rev, deleted: true });
  }

  /** Returns the value of a key; undefined if there is none. */
  get(key) {
    const item = this.#items.get(key);
    return item && Buffer.from(item.value, "base64").toString();
  }

  #put(key, value, lease) {
    const rev = ++this.#rev;
    const created = this.#items.get(key)?.created ?? rev;
    const item = { key, value, rev, created, lease };
    this.#items.set(key, item);
    this.#add(item);
  }

  #add(change) {
    this.#changes.push(change);
    for (const wake of [...this.#waiting]) wake();
  }

  #expire() {
    if (this.isDown) return;
    for (const [id, lease] of this.#leases) {
      if (lease.endsAt > performance.now()) continue;
      this.#endLease(id);
    }
  }

  #endLease(id) {
    this.#leases.delete(id);
    for (const item of [...this.#items.values()]) {
      if (item.lease === id) this.remove(item.key);
    }
  }

  async #serve(req, res) {
    let text = "";
    for await (const chunk of req) text += chunk;
    if (this.isDown || this.cuts(req, text)) return req.socket.destroy();
    const url = new URL(req.url, "http://store");
    const reply = await this.#handle(req.method, url, text);
    if (this.isDown) return req.socket.destroy();
    res.writeHead(reply.status, { "content-type": "application/json" });
    res.end(JSON.stringify(reply.body));
  }

  #handle(method, { pathname, searchParams: query }, text) {
    const id = Number(pathname.split("/")[3]);
    switch (`${method} ${pathname.split("/").slice(0, 3).join("/")}`) {
      case "GET /v1/kv-key":
        return this.#read(query.get("key"));
      case "GET /v1/kv-range":
        return this.#list(query.get("prefix"));
      case "GET /v1/kv-watch":
        return this.#watch(query);
      case "POST /v1/kv-txn":
        return this.#txn(JSON.parse(text));
      case "POST /v1/kv-lease":
        return this.#grant(JSON.parse(text));
      case "POST /v1/kv-keep":
        return this.#keep(id);
      case "DELETE /v1/kv-lease-end":
        this.#endLease(id);
        return reply(200, {});
      default:
        return reply(404, {});
    }
  }

  #read(key) {
    const item = this.#items.get(key);
    return item ? reply(200, { ...item, atRev: this.#rev }) : reply(404, {});
  }

  #list(prefix) {
    const items = [...this.#items.values()]
      .filter((it) => it.key.startsWith(prefix))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return reply(200, { items, hasMore: false, atRev: this.#rev });
  }

  async #watch(query) {
    const prefix = query.get("prefix");
    const after = Number(query.get("after"));
    const endsAt = performance.now() + Number(query.get("waitMs"));
    const select = () =>
      this.#changes.filter((it) => it.rev > after && it.key.startsWith(prefix));
    while (select().length === 0 && performance.now() < endsAt) {
      await this.#nextChange(endsAt - performance.now());
    }
    return reply(200, { events: select(), atRev: this.#rev });
  }

  #nextChange(ms) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timeout);
        this.#waiting.delete(wake);
        resolve();
      };
      const timeout = setTimeout(wake, Math.max(1, ms));
      this.#waiting.add(wake);
    });
  }

  #txn({ expectedRev = [], setKeys = [], remove = [] }) {
    const isMet = ({ key, rev }) => (this.#items.get(key)?.rev ?? 0) === rev;
    if (!expectedRev.every(isMet)) {
      const items = expectedRev.map((it) => this.#items.get(it.key) ?? it);
      return reply(412, { items });
    }
    for (const { lease = 0 } of setKeys) {
      if (lease !== 0 && !this.#leases.has(lease)) return reply(404, {});
    }
    for (const it of setKeys) this.#put(it.key, it.value, it.lease ?? 0);
    for (const key of remove) this.remove(key);
    return reply(200, { rev: this.#rev });
  }

  #grant({ ttlMs }) {
    const lease = this.#nextLease++;
    this.#leases.set(lease, { ttlMs, endsAt: performance.now() + ttlMs });
    return reply(200, { lease, ttlMs });
  }

  #keep(id) {
    const lease = this.#leases.get(id);
    if (!lease) return reply(404, {});
    lease.endsAt = performance.now() + lease.ttlMs;
    return reply(200, {});
  }
}

function reply(status, body) {
  return { status, body };
}
