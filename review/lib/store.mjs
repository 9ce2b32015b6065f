// Stand-in of the platform's metadata store (PROTOCOL.md, "The platform's
// metadata store"): keys, pages, watches, transactions and leases.
import { createServer } from "node:http";

const HISTORY_MS = 20_000;
const PAGE_ITEMS = 500;

export class Store {
  #items = new Map();
  #changes = [];
  #leases = new Map();
  #waiting = new Set();
  #rev = 1;
  #compactedRev = 0;
  #nextLease = 1;
  #timer;
  #views = [];
  /** While true, each call is answered 503: nothing was done. */
  isDown = false;

  constructor() {
    this.server = createServer((req, res) => this.#serve(req, res));
    this.server.keepAliveTimeout = 60_000;
  }

  /**
   * Listens on one more address, at which each worker is registered with the
   * address by which one machine reaches it. Networks of machines can then be
   * cut apart on loopback.
   */
  async listenFor(ip, addressOf) {
    const server = createServer((req, res) => this.#serve(req, res, addressOf));
    server.keepAliveTimeout = 60_000;
    await new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(0, ip, resolve);
    });
    this.#views.push(server);
    return `${ip}:${server.address().port}`;
  }

  async listen(ip) {
    await new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(0, ip, resolve);
    });
    this.#timer = setInterval(() => this.#tick(), 100);
    return `${ip}:${this.server.address().port}`;
  }

  close() {
    clearInterval(this.#timer);
    for (const server of [this.server, ...this.#views]) {
      server.closeAllConnections();
      server.close();
    }
  }

  /** Writes a key as the operator or a worker; the return is the confirmation. */
  put(key, value) {
    this.#set(key, Buffer.from(JSON.stringify(value)).toString("base64"), 0);
  }

  remove(key) {
    if (this.#items.delete(key)) {
      this.#change({ key, rev: ++this.#rev, deleted: true });
    }
  }

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
    this.#changes.push({ at: performance.now(), event });
    for (const wake of [...this.#waiting]) wake();
  }

  #tick() {
    const now = performance.now();
    for (const [id, lease] of this.#leases) {
      if (now >= lease.until) this.#endLease(id);
    }
    while (this.#changes.length > 0 && now - this.#changes[0].at > HISTORY_MS) {
      this.#compactedRev = this.#changes.shift().event.rev;
    }
  }

  #endLease(id) {
    if (!this.#leases.delete(id)) return false;
    for (const item of [...this.#items.values()]) {
      if (item.lease === id) this.remove(item.key);
    }
    return true;
  }

  #txn({ expectedRev = [], setKeys = [], remove = [] }) {
    const isCurrent = ({ key, rev }) =>
      (this.#items.get(key)?.rev ?? 0) === rev;
    if (!expectedRev.every(isCurrent)) {
      const items = expectedRev.map(({ key }) => this.#items.get(key) ?? null);
      return [412, { items }];
    }
    if (setKeys.some(({ lease }) => lease && !this.#leases.has(lease))) {
      return [404, {}];
    }
    const own = [...setKeys.map((it) => it.key), ...remove];
    if (own.some((it) => it.startsWith("op/") || it.startsWith("servers/"))) {
      return [403, {}];
    }
    for (const { key, value, lease } of setKeys) {
      this.#set(key, value, lease ?? 0);
    }
    for (const key of remove) this.remove(key);
    return [200, { rev: this.#rev }];
  }

  async #watch(query, res) {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    const until = performance.now() +
      Math.min(30_000, Number(query.get("waitMs")));
    for (;;) {
      if (after < this.#compactedRev) return [410, {}];
      const events = this.#changes.map((it) => it.event)
        .filter((it) => it.rev > after && it.key.startsWith(prefix));
      const left = until - performance.now();
      if (events.length > 0 || left <= 0 || res.closed) {
        return [200, { events, atRev: this.#rev }];
      }
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, left);
        this.#waiting.add(wake);
      });
    }
  }

  async #answer(req, res, body) {
    const { pathname, searchParams: query } = new URL(req.url, "http://store");
    const [, , call, id] = pathname.split("/");
    switch (`${req.method} ${call}`) {
      case "GET kv-key": {
        const item = this.#items.get(query.get("key"));
        return item ? [200, { ...item, atRev: this.#rev }] : [404, {}];
      }
      case "GET kv-range": {
        const prefix = query.get("prefix") ?? "";
        const after = query.get("after") ?? "";
        const all = [...this.#items.values()]
          .filter((it) => it.key.startsWith(prefix) && it.key > after)
          .sort((a, b) => (a.key < b.key ? -1 : 1));
        const items = all.slice(0, PAGE_ITEMS);
        return [200, {
          items,
          hasMore: all.length > items.length,
          atRev: this.#rev,
        }];
      }
      case "GET kv-watch":
        return await this.#watch(query, res);
      case "POST kv-txn":
        return this.#txn(JSON.parse(body));
      case "POST kv-lease": {
        const ttlMs = Math.min(
          600_000,
          Math.max(1_000, JSON.parse(body).ttlMs),
        );
        const lease = this.#nextLease++;
        this.#leases.set(lease, { ttlMs, until: performance.now() + ttlMs });
        return [200, { lease, ttlMs }];
      }
      case "POST kv-keep": {
        const lease = this.#leases.get(Number(id));
        if (!lease) return [404, {}];
        lease.until = performance.now() + lease.ttlMs;
        return [200, { ttlMs: lease.ttlMs }];
      }
      case "DELETE kv-lease-end":
        return this.#endLease(Number(id)) ? [200, {}] : [404, {}];
      default:
        return [404, {}];
    }
  }

  async #serve(req, res, addressOf = undefined) {
    let text = "";
    for await (const chunk of req) text += chunk;
    const [status, body] = this.isDown
      ? [503, {}]
      : await this.#answer(req, res, text);
    if (addressOf) {
      for (const list of ["items", "events"]) {
        body[list] &&= body[list].map((it) => toView(it, addressOf));
      }
    }
    res.writeHead(status, { "content-type": "application/json" });
    res.end(JSON.stringify(body));
  }
}

/** Returns a worker's entry with the address of one machine's way to it. */
function toView(item, addressOf) {
  if (!item?.key.startsWith("servers/") || item.deleted) return item;
  const entry = JSON.parse(Buffer.from(item.value, "base64").toString());
  entry.address = addressOf(item.key.slice("servers/".length));
  const value = Buffer.from(JSON.stringify(entry)).toString("base64");
  return { ...item, value };
}
