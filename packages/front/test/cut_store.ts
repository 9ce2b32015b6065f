import type {
  ConfigStore,
  MemoryStore,
  Txn,
  WatchHandlers,
  WatchOptions,
} from "@toucantrestle/config_store";

/** How a process is cut off from the store. */
export type StoreCut =
  /** Calls fail, and watches are lost. */
  | "refused"
  /** Watches report nothing, as to a process that stands still. */
  | "silent";

/** The store as one process reaches it, which a test can cut off. */
export class CutStore implements ConfigStore {
  readonly #store: MemoryStore;
  readonly #watches = new Set<WatchHandlers>();
  #cut: StoreCut | undefined;

  constructor(store: MemoryStore) {
    this.#store = store;
  }

  /** Cuts the process off. */
  cut(kind: StoreCut): void {
    this.#cut = kind;
    if (kind === "silent") return;
    for (const handlers of this.#watches) handlers.onEnd("lost");
    this.#watches.clear();
  }

  async get(key: string) {
    return await this.#reach().get(key);
  }

  async list(prefix: string) {
    return await this.#reach().list(prefix);
  }

  async txn(txn: Txn) {
    return await this.#reach().txn(txn);
  }

  async grantLease() {
    return await this.#reach().grantLease();
  }

  async renewLease() {
    return await this.#reach().renewLease();
  }

  async revokeLease() {
    return await this.#reach().revokeLease();
  }

  watch(prefix: string, opts: WatchOptions) {
    const handlers: WatchHandlers = {
      onEvents: (events, revision) => {
        if (!this.#cut) opts.handlers.onEvents(events, revision);
      },
      onEnd: (reason) => opts.handlers.onEnd(reason),
    };
    if (this.#cut === "refused") {
      queueMicrotask(() => handlers.onEnd("lost"));
      return { cancel() {} };
    }
    this.#watches.add(handlers);
    return this.#store.watch(prefix, { ...opts, handlers });
  }

  #reach(): MemoryStore {
    if (this.#cut) throw new Error("cut off from the store");
    return this.#store;
  }
}
