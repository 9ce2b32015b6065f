import {
  type ConfigStore,
  follow,
  type StoreEvent,
  type Versioned,
} from "@toucantrestle/config_store";
import type { Logger } from "@toucantrestle/log";
import type { UpstreamBook, UpstreamEntry } from "@toucantrestle/routing";
import type { Timer } from "@toucantrestle/timer";
import type { Protocol } from "./protocol.ts";

const SWEEP_INTERVAL_MS = 200;
/** Removals seen this soon after an outage may be leases that ran out in it. */
const LEASE_EXPIRY_WINDOW_MS = 2_000;
/** No lease runs out in an outage that is shorter. */
const MIN_OUTAGE_MS = 2_000;

/** Keeps the book of upstreams up to date with the platform's store. */
export class UpstreamWatcher {
  readonly #opts: {
    protocol: Protocol;
    book: UpstreamBook;
    timer: Timer;
    log: Logger;
  };
  #isReachable = false;
  #lastUpdateAt = 0;
  /** When the store was lost, and when an outage worth the name has ended. */
  #disconnectedAt: number | undefined;
  #reconnectedAt = -Infinity;

  constructor(
    opts: {
      protocol: Protocol;
      book: UpstreamBook;
      timer: Timer;
      log: Logger;
    },
  ) {
    this.#opts = opts;
  }

  /** Time since the store was last heard, in ms. */
  get ageMs(): number {
    return this.#opts.timer.steady() - this.#lastUpdateAt;
  }

  /** True while the store answers. */
  get isReachable(): boolean {
    return this.#isReachable;
  }

  start(store: ConfigStore): void {
    const { protocol, timer, log, book } = this.#opts;
    follow({
      store,
      prefix: protocol.upstreamPrefix,
      timer,
      log,
      onSnapshot: (items) => this.#applySnapshot(items),
      onEvents: (events) => {
        this.#lastUpdateAt = timer.steady();
        for (const event of events) this.#applyEvent(event);
      },
      onReachable: (isReachable) => {
        this.#isReachable = isReachable;
        this.#trackOutage(isReachable);
      },
    });
    timer.every(SWEEP_INTERVAL_MS, () => {
      if (!this.#isReachable) return;
      for (const id of book.sweep(timer.steady())) {
        log.info(`upstream ${id} stayed away; dropped`);
      }
    });
  }

  /** Takes a sibling's list, while the store does not answer. */
  mergeFromSibling(entries: UpstreamEntry[]): void {
    if (this.#isReachable) return;
    for (const entry of entries) this.#upsert(entry);
  }

  #trackOutage(isReachable: boolean): void {
    const now = this.#opts.timer.steady();
    if (!isReachable) {
      this.#disconnectedAt ??= now;
      return;
    }
    const wasLong = this.#disconnectedAt !== undefined &&
      now - this.#disconnectedAt > MIN_OUTAGE_MS;
    if (wasLong) this.#reconnectedAt = now;
    this.#disconnectedAt = undefined;
  }

  #applySnapshot(items: Versioned[]): void {
    const entries = items
      .map((it) => this.#parseEntry(it.key, it.value))
      .filter((it) => it !== undefined);
    const { book, timer, log } = this.#opts;
    this.#lastUpdateAt = timer.steady();
    book.replaceAll(entries, this.#lastUpdateAt);
    log.info(`${entries.length} upstreams are registered`);
  }

  #applyEvent(event: StoreEvent): void {
    const { protocol, book, log, timer } = this.#opts;
    if (event.kind === "put") {
      const entry = this.#parseEntry(event.item.key, event.item.value);
      if (entry) this.#upsert(entry);
      return;
    }
    const id = event.key.slice(protocol.upstreamPrefix.length);
    const now = timer.steady();
    const mayHaveLapsed = now - this.#reconnectedAt < LEASE_EXPIRY_WINDOW_MS;
    log.info(`upstream ${id} is gone`, { event: "gone", mayHaveLapsed });
    // What is not back soon after the end of the outage is gone.
    if (mayHaveLapsed) book.lapse(id, this.#reconnectedAt);
    else book.remove(id);
  }

  #upsert(entry: UpstreamEntry): void {
    const change = this.#opts.book.put(entry);
    if (!change) return;
    this.#opts.log.info(
      `upstream ${entry.id} of ${entry.service} at ${entry.address}: ${change}`,
    );
  }

  #parseEntry(key: string, text: string): UpstreamEntry | undefined {
    const entry = this.#opts.protocol.readUpstream(key, text);
    if (!entry) this.#opts.log.warn(`entry ${key} names no upstream`);
    return entry;
  }
}
