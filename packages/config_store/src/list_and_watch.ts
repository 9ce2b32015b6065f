import type { Subscription, Timer } from "@toucantrestle/timer";
import type { Logger } from "@toucantrestle/log";
import type { ConfigStore, StoreEvent, StoreItem } from "./store.ts";

/** Options for keeping a copy of all keys below a prefix up to date. */
export interface ListAndWatchOptions {
  store: ConfigStore;
  prefix: string;
  timer: Timer;
  log: Logger;
  /**
   * Called with all items below the prefix: initially, and again after the
   * history needed to continue the watch was compacted.
   */
  onSnapshot: (items: StoreItem[], revision: number) => void;
  /** Called with the changes since the snapshot or the previous call. */
  onEvents: (events: StoreEvent[], revision: number) => void;
  /** Called when the service becomes reachable or unreachable. */
  onReachable?: (isReachable: boolean) => void;
  /** Called whenever the service has confirmed that the copy is current. */
  onConfirmed?: () => void;
  /** Returns the longest delay between two retries, in ms. */
  maxRetryMs?: () => number;
}

/** Delay before the first retry; doubles with each failure up to the limit. */
const MIN_RETRY_MS = 250;
const DEFAULT_MAX_RETRY_MS = 800;

/** Why changes cannot be read, for the log. */
const HISTORY_STATES = {
  compacted: "compacted",
  too_large: "too large",
} as const;

/**
 * Lists the items below a prefix and then watches it for changes. Retries with
 * exponential backoff while the service is unreachable.
 */
export function listAndWatch(opts: ListAndWatchOptions): Subscription {
  const { store, prefix, timer, log } = opts;
  let isCancelled = false;
  let isReachable = false;
  let retryMs = MIN_RETRY_MS;
  let subscription: Subscription | undefined;
  let confirmedAt = timer.monotonicNow();
  /** Whether no watch has responded since a list replaced lost history. */
  let isRelisted = false;

  function confirm(): void {
    confirmedAt = timer.monotonicNow();
    apply(() => opts.onConfirmed?.());
  }

  /** Hands something on; an error there must not end the watch. */
  function apply(fn: () => void): void {
    try {
      fn();
    } catch (err) {
      const reason = err instanceof Error ? err.stack : String(err);
      log.error(`a listener to ${prefix} failed: ${reason}`);
    }
  }

  function setReachable(value: boolean): void {
    if (value) retryMs = MIN_RETRY_MS;
    if (value === isReachable) return;
    isReachable = value;
    log.info(
      value
        ? `watching ${prefix}`
        : `lost connection to the store while watching ${prefix}`,
      { lastHeardMs: Math.round(timer.monotonicNow() - confirmedAt) },
    );
    apply(() => opts.onReachable?.(value));
  }

  function retry(fn: (waitedMs: number) => void): void {
    if (isCancelled) return;
    const waitedMs = retryMs;
    timer.after(waitedMs, () => fn(waitedMs));
    const maxRetryMs = opts.maxRetryMs?.() ?? DEFAULT_MAX_RETRY_MS;
    retryMs = Math.min(maxRetryMs, retryMs * 2);
  }

  /** Lists the items; the watch then reports what a stale list lacks. */
  async function list(mayBeStale: boolean): Promise<void> {
    if (isCancelled) return;
    try {
      const listStale = mayBeStale ? store.listPossiblyStale : undefined;
      const listing = await (listStale ?? store.list).call(store, prefix);
      if (isCancelled) return;
      setReachable(true);
      apply(() => opts.onSnapshot(listing.items, listing.revision));
      if (!listStale) confirm();
      watch(listing.revision);
    } catch (err) {
      log.debug(`cannot list ${prefix}: ${String(err)}`);
      setReachable(false);
      retry(() => list(mayBeStale));
    }
  }

  /** Lists again without the lost history; a second time only after a pause. */
  function relist(): void {
    if (isRelisted) return retry(() => list(false));
    isRelisted = true;
    list(false);
  }

  function watch(after: number, waitedMs = 0): void {
    if (isCancelled) return;
    let revision = after;
    subscription = store.watch(prefix, {
      fromRevision: after + 1,
      waitedMs,
      handlers: {
        onEvents(events, atRevision) {
          if (isCancelled) return;
          setReachable(true);
          isRelisted = false;
          revision = atRevision;
          if (events.length > 0) apply(() => opts.onEvents(events, atRevision));
          confirm();
        },
        onEnd(reason) {
          if (isCancelled) return;
          if (reason === "compacted" || reason === "too_large") {
            log.info(
              `history of ${prefix} after revision ${revision} is ${
                HISTORY_STATES[reason]
              }, listing again`,
            );
            relist();
            return;
          }
          if (reason === "outdated") {
            list(true);
            return;
          }
          setReachable(false);
          retry((it) => watch(revision, it));
        },
      },
    });
  }

  list(true);
  return {
    cancel() {
      isCancelled = true;
      subscription?.cancel();
    },
  };
}
