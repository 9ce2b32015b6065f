import {
  type ConfigStore,
  listAndWatch,
  type StoreEvent,
  type StoreItem,
} from "@toucantrestle/config_store";
import type { Logger } from "@toucantrestle/log";
import type { UpstreamEntry, UpstreamRegistry } from "@toucantrestle/routing";
import type { Timer } from "@toucantrestle/timer";
import type { Protocol } from "./protocol.ts";

const SWEEP_INTERVAL_MS = 200;
/** Entries removed this soon after an outage may have expired leases. */
const LEASE_EXPIRY_WINDOW_MS = 2_000;
/** No lease expires during an outage shorter than this. */
const MIN_OUTAGE_MS = 2_000;

/** Updates the registry of upstreams from the platform's store. */
export class UpstreamWatcher {
  readonly #opts: {
    protocol: Protocol;
    upstreamRegistry: UpstreamRegistry;
    timer: Timer;
    log: Logger;
  };
  #isReachable = false;
  #lastUpdateAt = 0;
  /** When the store became unreachable; undefined while it is reachable. */
  #disconnectedAt: number | undefined;
  /** End of the last outage that was long enough for leases to expire. */
  #reconnectedAt = -Infinity;

  constructor(
    opts: {
      protocol: Protocol;
      upstreamRegistry: UpstreamRegistry;
      timer: Timer;
      log: Logger;
    },
  ) {
    this.#opts = opts;
  }

  /** Time since the last snapshot or event from the store, in ms. */
  get ageMs(): number {
    return this.#opts.timer.monotonicNow() - this.#lastUpdateAt;
  }

  /** Whether the store is reachable. */
  get isReachable(): boolean {
    return this.#isReachable;
  }

  start(store: ConfigStore): void {
    const { protocol, timer, log, upstreamRegistry } = this.#opts;
    listAndWatch({
      store,
      prefix: protocol.upstreamPrefix,
      timer,
      log,
      onSnapshot: (items) => this.#applySnapshot(items),
      onEvents: (events) => {
        this.#lastUpdateAt = timer.monotonicNow();
        for (const event of events) this.#applyEvent(event);
      },
      onReachable: (isReachable) => {
        this.#isReachable = isReachable;
        this.#trackOutage(isReachable);
      },
    });
    timer.every(SWEEP_INTERVAL_MS, () => {
      if (!this.#isReachable) return;
      for (const id of upstreamRegistry.sweep(timer.monotonicNow())) {
        log.info(
          `upstream ${id} did not register again after a store outage; removed`,
        );
      }
    });
  }

  /** Merges a sibling's upstreams; ignored while the store is reachable. */
  mergeFromSibling(entries: UpstreamEntry[]): void {
    if (this.#isReachable) return;
    for (const entry of entries) this.#upsert(entry);
  }

  #trackOutage(isReachable: boolean): void {
    const now = this.#opts.timer.monotonicNow();
    if (!isReachable) {
      this.#disconnectedAt ??= now;
      return;
    }
    const wasLong = this.#disconnectedAt !== undefined &&
      now - this.#disconnectedAt > MIN_OUTAGE_MS;
    if (wasLong) this.#reconnectedAt = now;
    this.#disconnectedAt = undefined;
  }

  #applySnapshot(items: StoreItem[]): void {
    const entries = items
      .map((it) => this.#parseEntry(it.key, it.value))
      .filter((it) => it !== undefined);
    const { upstreamRegistry, timer, log } = this.#opts;
    this.#lastUpdateAt = timer.monotonicNow();
    upstreamRegistry.reconcile(entries, this.#lastUpdateAt);
    log.info(`${entries.length} upstreams registered`);
  }

  #applyEvent(event: StoreEvent): void {
    const { protocol, upstreamRegistry, log, timer } = this.#opts;
    if (event.kind === "put") {
      const entry = this.#parseEntry(event.item.key, event.item.value);
      if (entry) this.#upsert(entry);
      return;
    }
    const id = event.key.slice(protocol.upstreamPrefix.length);
    const now = timer.monotonicNow();
    const mayHaveLapsed = now - this.#reconnectedAt < LEASE_EXPIRY_WINDOW_MS;
    log.info(`upstream ${id} was removed from the store`, {
      event: "gone",
      mayHaveLapsed,
    });
    // An expired entry is removed unless it reappears soon after the outage.
    if (mayHaveLapsed) upstreamRegistry.markMissing(id, this.#reconnectedAt);
    else upstreamRegistry.remove(id);
  }

  #upsert(entry: UpstreamEntry): void {
    const change = this.#opts.upstreamRegistry.put(entry);
    if (!change) return;
    this.#opts.log.info(
      `upstream ${entry.id} of ${entry.service} at ${entry.address}: ${change}`,
    );
  }

  #parseEntry(key: string, text: string): UpstreamEntry | undefined {
    const entry = this.#opts.protocol.parseUpstream(key, text);
    if (!entry) this.#opts.log.warn(`invalid upstream entry ${key} ignored`);
    return entry;
  }
}
