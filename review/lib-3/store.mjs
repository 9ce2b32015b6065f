// Stand-in of the platform's metadata store (PROTOCOL.md, "The platform's
// metadata store"): linearizable, one revision counter, leases that expire.
import { createServer } from "node:http";

const ANSWER_MS = 4;
const MAX_PAGE = 500;

export class Store {
  #items = new Map();
  #changes = [];
  #rev = 1;
  #leases = new Map();
  #nextLease = 1;
  #waiting = new Set();
  /** Returns whether a call is answered; for stores that are away. */
  isReachable = () => true;

  async listen(host) {
    this.server = createServer((req, res) => this.#serve(req, res));
    await new Promise((done) => this.server.listen(0, host, done));
    this.address = `${host}:${this.server.address().port}`;
    this.timer = setInterval(() => this.#expire(), 100);
  }

  close() {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  /** A write of the operator or of a worker. */
  put(key, value, lease = 0) {
    this.#set(
      key,
      Buffer.from(JSON.stringify(value)).toString("base64"),
      lease,
    );
  }

  remove(key) {
    if (!this.#items.delete(key)) return;
    this.#change({ key, rev: ++this.#rev, deleted: true });
  }

  /** Value of a key, or undefined. */
  get(key) {
    const item = this.#items.get(key);
    return item && JSON.parse(Buffer.from(item.value, "base64").toString());
  }

  #set(key, value, lease) {
    const rev = ++this.#rev;
    const created = this.#items.get(key)?.created ?? rev;
    const item = { key, value, rev, created, lease };
    this.#items.set(key, item);
    this.#change(item);
  }

  #change(event) {
    this.#changes.push(event);
    for (const wake of [...this.#waiting]) wake();
  }

  #expire() {
    for (const [id, { until }] of this.#leases) {
      if (Date.now() >= until) this.#endLease(id);
    }
  }

  #endLease(id) {
    if (!this.#leases.delete(id)) return false;
    for (const { key, lease } of [...this.#items.values()]) {
      if (lease === id) this.remove(key);
    }
    return true;
  }

  async #serve(req, res) {
    const url = new URL(req.url, "http://store");
    let text = "";
    for await (const chunk of req) text += chunk;
    if (!this.isReachable(req)) return;
    await new Promise((done) => setTimeout(done, ANSWER_MS));
    const body = text ? JSON.parse(text) : {};
    const [status, answer] = await this.#answer(req.method, url, body);
    if (!this.isReachable(req)) return;
    res.writeHead(status, { "content-type": "application/json" });
    res.end(JSON.stringify(answer));
  }

  async #answer(method, { pathname, searchParams }, body) {
    const [, , call, id] = pathname.split("/");
    if (call === "kv-key") {
      const item = this.#items.get(searchParams.get("key"));
      return item ? [200, { ...item, atRev: this.#rev }] : [404, {}];
    }
    if (call === "kv-range") return [200, this.#range(searchParams)];
    if (call === "kv-watch") return [200, await this.#watch(searchParams)];
    if (call === "kv-txn") return this.#txn(body);
    if (call === "kv-lease") {
      const lease = this.#nextLease++;
      this.#leases.set(lease, {
        ttlMs: body.ttlMs,
        until: Date.now() + body.ttlMs,
      });
      return [200, { lease, ttlMs: body.ttlMs }];
    }
    if (call === "kv-keep") {
      const lease = this.#leases.get(Number(id));
      if (!lease) return [404, {}];
      lease.until = Date.now() + lease.ttlMs;
      return [200, { ttlMs: lease.ttlMs }];
    }
    if (call === "kv-lease-end") {
      return this.#endLease(Number(id)) ? [200, {}] : [404, {}];
    }
    return [404, {}];
  }

  #range(params) {
    const prefix = params.get("prefix") ?? "";
    const after = params.get("after") ?? "";
    const all = [...this.#items.values()]
      .filter((it) => it.key.startsWith(prefix) && it.key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const items = all.slice(0, MAX_PAGE);
    return { items, hasMore: all.length > items.length, atRev: this.#rev };
  }

  async #watch(params) {
    const prefix = params.get("prefix") ?? "";
    const after = Number(params.get("after"));
    const until = Date.now() + Number(params.get("waitMs"));
    for (;;) {
      const events = this.#changes
        .filter((it) => it.rev > after && it.key.startsWith(prefix));
      const leftMs = until - Date.now();
      if (events.length > 0 || leftMs <= 0) return { events, atRev: this.#rev };
      await new Promise((done) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          done();
        };
        const timer = setTimeout(wake, leftMs);
        this.#waiting.add(wake);
      });
    }
  }

  #txn({ expectedRev = [], setKeys = [], remove = [] }) {
    const isCurrent = ({ key, rev }) =>
      (this.#items.get(key)?.rev ?? 0) === rev;
    if (!expectedRev.every(isCurrent)) {
      const items = expectedRev.map(({ key }) =>
        this.#items.get(key) ?? { key, rev: 0 }
      );
      return [412, { items }];
    }
    const isGone = ({ lease }) => lease > 0 && !this.#leases.has(lease);
    if (setKeys.some(isGone)) return [404, {}];
    for (const { key, value, lease = 0 } of setKeys) {
      this.#set(key, value, lease);
    }
    for (const key of remove) this.remove(key);
    return [200, { rev: this.#rev }];
  }
}
