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

const SWEEP_MS = 200;
/** Removals seen this soon after an outage may be leases that ran out in it. */
const LAPSE_WINDOW_MS = 2_000;
/** No lease runs out in an outage that is shorter. */
const MIN_OUTAGE_MS = 2_000;

/** Keeps the book of upstreams up to date with the platform's store. */
export class UpstreamWatch {
  readonly #opts: {
    protocol: Protocol;
    book: UpstreamBook;
    timer: Timer;
    log: Logger;
  };
  #isReachable = false;
  #heardAt = 0;
  /** When the store was lost, and when an outage worth the name has ended. */
  #lostAt: number | undefined;
  #regainedAt = -Infinity;

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
    return this.#opts.timer.steady() - this.#heardAt;
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
      onSnapshot: (items) => this.#takeAll(items),
      onEvents: (events) => {
        this.#heardAt = timer.steady();
        for (const event of events) this.#take(event);
      },
      onReachable: (isReachable) => {
        this.#isReachable = isReachable;
        this.#noteOutage(isReachable);
      },
    });
    timer.every(SWEEP_MS, () => {
      if (!this.#isReachable) return;
      for (const id of book.sweep(timer.steady())) {
        log.info(`upstream ${id} stayed away; dropped`);
      }
    });
  }

  /** Takes a sibling's list, while the store does not answer. */
  takeFromSibling(entries: UpstreamEntry[]): void {
    if (this.#isReachable) return;
    for (const entry of entries) this.#put(entry);
  }

  #noteOutage(isReachable: boolean): void {
    const now = this.#opts.timer.steady();
    if (!isReachable) {
      this.#lostAt ??= now;
      return;
    }
    const wasLong = this.#lostAt !== undefined &&
      now - this.#lostAt > MIN_OUTAGE_MS;
    if (wasLong) this.#regainedAt = now;
    this.#lostAt = undefined;
  }

  #takeAll(items: Versioned[]): void {
    const entries = items
      .map((it) => this.#read(it.key, it.value))
      .filter((it) => it !== undefined);
    const { book, timer, log } = this.#opts;
    this.#heardAt = timer.steady();
    book.replaceAll(entries, this.#heardAt);
    log.info(`${entries.length} upstreams are registered`);
  }

  #take(event: StoreEvent): void {
    const { protocol, book, log, timer } = this.#opts;
    if (event.kind === "put") {
      const entry = this.#read(event.item.key, event.item.value);
      if (entry) this.#put(entry);
      return;
    }
    const id = event.key.slice(protocol.upstreamPrefix.length);
    const now = timer.steady();
    const mayHaveLapsed = now - this.#regainedAt < LAPSE_WINDOW_MS;
    log.info(`upstream ${id} is gone`, { event: "gone", mayHaveLapsed });
    // What is not back soon after the end of the outage is gone.
    if (mayHaveLapsed) book.lapse(id, this.#regainedAt);
    else book.remove(id);
  }

  #put(entry: UpstreamEntry): void {
    const change = this.#opts.book.put(entry);
    if (!change) return;
    this.#opts.log.info(
      `upstream ${entry.id} of ${entry.service} at ${entry.address}: ${change}`,
    );
  }

  #read(key: string, text: string): UpstreamEntry | undefined {
    const entry = this.#opts.protocol.readUpstream(key, text);
    if (!entry) this.#opts.log.warn(`entry ${key} names no upstream`);
    return entry;
  }
}
