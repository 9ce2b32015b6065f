import type {
  ConfigStore,
  Listing,
  StoreEvent,
  StoreItem,
  WatchEndReason,
  WatchHandlers,
} from "@toucantrestle/config_store";

/** All items at one revision of the store. */
type Version = ReadonlyMap<string, StoreItem>;

interface Watch {
  /** Revision up to which the watch has reported changes. */
  position: number;
  handlers: WatchHandlers;
}

/**
 * A store with history. Each process that reads it has a `StoreReadings` of its
 * own, so that a test decides who reads what and when.
 */
export class WatchedStore {
  readonly #versions: Version[] = [new Map()];
  readonly #events: { event: StoreEvent; revision: number }[] = [];
  /** Changes up to this revision are forgotten. */
  #compactedTo = 0;

  get revision(): number {
    return this.#versions.length - 1;
  }

  put(key: string, value: unknown): void {
    const modRevision = this.revision + 1;
    const item = { key, value: JSON.stringify(value), modRevision };
    this.#change({ kind: "put", item }, (items) => items.set(key, item));
  }

  delete(key: string): void {
    const revision = this.revision + 1;
    const event: StoreEvent = { kind: "delete", key, revision };
    this.#change(event, (items) => items.delete(key));
  }

  /** Forgets the history. */
  compact(): void {
    this.#compactedTo = this.revision;
  }

  /** Lists the items as they were at a revision. */
  listAt(revision: number): Listing {
    const version = this.#versions[Math.max(0, revision)] ?? new Map();
    return { items: [...version.values()], revision: Math.max(0, revision) };
  }

  /** Returns the changes after a revision; undefined if they are forgotten. */
  eventsAfter(revision: number): StoreEvent[] | undefined {
    if (revision < this.#compactedTo) return undefined;
    return this.#events.filter((it) => it.revision > revision)
      .map((it) => it.event);
  }

  #change(event: StoreEvent, apply: (items: Map<string, StoreItem>) => void) {
    const items = new Map(this.#versions.at(-1));
    apply(items);
    this.#versions.push(items);
    this.#events.push({ event, revision: this.revision });
  }
}

/** How one process reads a `WatchedStore`. */
export class StoreReadings implements ConfigStore {
  readonly #store: WatchedStore;
  #watch: Watch | undefined;
  /** Whether calls fail and watches end. */
  isCutOff = false;
  /** By how many revisions lists that may be stale are. */
  staleBy = 0;

  constructor(store: WatchedStore) {
    this.#store = store;
  }

  /** Whether a watch waits for changes. */
  get isWatching(): boolean {
    return this.#watch !== undefined;
  }

  list(): Promise<Listing> {
    return this.#listAt(this.#store.revision);
  }

  listPossiblyStale(): Promise<Listing> {
    return this.#listAt(this.#store.revision - this.staleBy);
  }

  watch(
    _prefix: string,
    { fromRevision, handlers }: {
      fromRevision: number;
      handlers: WatchHandlers;
    },
  ) {
    const watch = { position: fromRevision - 1, handlers };
    if (this.isCutOff) queueMicrotask(() => handlers.onEnd("lost"));
    else this.#watch = watch;
    return {
      cancel: () => {
        if (this.#watch === watch) this.#watch = undefined;
      },
    };
  }

  /** Lets the watch read what has changed. */
  poll(): void {
    const watch = this.#watch;
    if (!watch) return;
    const events = this.#store.eventsAfter(watch.position);
    if (!events) return this.end("compacted");
    watch.position = this.#store.revision;
    watch.handlers.onEvents(events, watch.position);
  }

  /** Ends the watch. */
  end(reason: WatchEndReason): void {
    const watch = this.#watch;
    this.#watch = undefined;
    watch?.handlers.onEnd(reason);
  }

  /** Cuts the process off from the store. */
  cutOff(): void {
    this.isCutOff = true;
    this.end("lost");
  }

  get(): Promise<StoreItem | undefined> {
    return Promise.resolve(undefined);
  }

  txn(): Promise<never> {
    return Promise.reject(new Error("not written to"));
  }

  grantLease(): Promise<never> {
    return Promise.reject(new Error("not written to"));
  }

  renewLease(): Promise<never> {
    return Promise.reject(new Error("not written to"));
  }

  revokeLease(): Promise<never> {
    return Promise.reject(new Error("not written to"));
  }

  #listAt(revision: number): Promise<Listing> {
    if (this.isCutOff) return Promise.reject(new Error("cut off"));
    return Promise.resolve(this.#store.listAt(revision));
  }
}
