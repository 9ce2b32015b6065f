import type {
  ConfigStore,
  StoreEvent,
  StoreItem,
  Txn,
  TxnResult,
  WatchHandlers,
} from "./store.ts";

/** In-memory store for tests that can simulate outages and compaction. */
export class MemoryStore implements ConfigStore {
  /** Simulates an outage while true: calls throw, new watches end as lost. */
  isUnavailable = false;
  readonly #items = new Map<string, StoreItem>();
  readonly #watches = new Set<{ prefix: string; handlers: WatchHandlers }>();
  #revision = 1;

  /** Writes a value as JSON, as another process would. */
  put(key: string, value: unknown): void {
    this.#write([{ key, value: JSON.stringify(value) }], []);
  }

  /** Deletes a key, as another process would. */
  delete(key: string): void {
    this.#write([], [key]);
  }

  /** Starts an outage, which ends all watches as lost. */
  startOutage(): void {
    this.isUnavailable = true;
    for (const watch of [...this.#watches]) {
      this.#watches.delete(watch);
      watch.handlers.onEnd("lost");
    }
  }

  /** Makes changes without notifying the watches, then ends them as compacted. */
  compact(makeChanges: () => void): void {
    const watches = [...this.#watches];
    this.#watches.clear();
    makeChanges();
    for (const watch of watches) watch.handlers.onEnd("compacted");
  }

  async get(key: string) {
    this.#assertAvailable();
    return await Promise.resolve(this.#items.get(key));
  }

  async list(prefix: string) {
    this.#assertAvailable();
    const items = [...this.#items.values()]
      .filter((it) => it.key.startsWith(prefix));
    return await Promise.resolve({ items, revision: this.#revision });
  }

  async txn(txn: Txn): Promise<TxnResult> {
    this.#assertAvailable();
    const isMet = txn.compares.every((it) =>
      (this.#items.get(it.key)?.modRevision ?? 0) === it.modRevision
    );
    if (isMet) this.#write(txn.puts, txn.deletes.map((it) => it.from));
    return await Promise.resolve({
      succeeded: isMet,
      revision: this.#revision,
      current: [],
    });
  }

  grantLease(): Promise<string> {
    this.#assertAvailable();
    return Promise.resolve("1");
  }

  renewLease(): Promise<boolean> {
    return Promise.resolve(true);
  }

  revokeLease(): Promise<void> {
    return Promise.resolve();
  }

  watch(prefix: string, opts: { handlers: WatchHandlers }) {
    const watch = { prefix, handlers: opts.handlers };
    if (this.isUnavailable) setTimeout(() => opts.handlers.onEnd("lost"), 5);
    else this.#watches.add(watch);
    return { cancel: () => this.#watches.delete(watch) };
  }

  #assertAvailable(): void {
    if (this.isUnavailable) throw new Error("the store is unavailable");
  }

  #write(puts: { key: string; value: string }[], deletes: string[]): void {
    const events: StoreEvent[] = [];
    this.#revision += 1;
    for (const { key, value } of puts) {
      const item = { key, value, modRevision: this.#revision };
      this.#items.set(key, item);
      events.push({ kind: "put", item });
    }
    for (const key of deletes) {
      if (!this.#items.delete(key)) continue;
      events.push({ kind: "delete", key, revision: this.#revision });
    }
    for (const { prefix, handlers } of this.#watches) {
      const matching = events.filter((it) =>
        (it.kind === "put" ? it.item.key : it.key).startsWith(prefix)
      );
      if (matching.length > 0) handlers.onEvents(matching, this.#revision);
    }
  }
}
