import type { Subscription, Timer } from "@toucantrestle/timer";
import type { Logger } from "@toucantrestle/log";
import type { ConfigStore, StoreEvent, Versioned } from "./store.ts";

/** Settings of a reader that stays up to date on a prefix. */
export interface FollowOptions {
  store: ConfigStore;
  prefix: string;
  timer: Timer;
  log: Logger;
  /** Called with everything below the prefix, at first and after a gap. */
  onSnapshot: (items: Versioned[], revision: number) => void;
  onEvents: (events: StoreEvent[], revision: number) => void;
  /** Called when the service is lost and when it answers again. */
  onReachable?: (isReachable: boolean) => void;
}

const RETRY_MS = 250;
const MAX_RETRY_MS = 800;

/** Reads a prefix and then watches it, across losses of the service. */
export function follow(opts: FollowOptions): Subscription {
  const { store, prefix, timer, log } = opts;
  let isEnded = false;
  let isReachable = false;
  let retryMs = RETRY_MS;
  let watching: Subscription | undefined;

  function setReachable(value: boolean): void {
    if (value) retryMs = RETRY_MS;
    if (value === isReachable) return;
    isReachable = value;
    log.info(
      value ? `follows ${prefix}` : `lost the store while following ${prefix}`,
    );
    opts.onReachable?.(value);
  }

  function retry(fn: () => void): void {
    if (isEnded) return;
    timer.after(retryMs, fn);
    retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
  }

  async function read(): Promise<void> {
    if (isEnded) return;
    try {
      const { items, revision } = await store.list(prefix);
      if (isEnded) return;
      setReachable(true);
      opts.onSnapshot(items, revision);
      watch(revision);
    } catch (err) {
      log.debug(`${prefix} cannot be read: ${String(err)}`);
      setReachable(false);
      retry(read);
    }
  }

  function watch(after: number): void {
    if (isEnded) return;
    let revision = after;
    watching = store.watch(prefix, {
      fromRevision: after + 1,
      handlers: {
        onEvents(events, atRevision) {
          if (isEnded) return;
          setReachable(true);
          revision = atRevision;
          if (events.length > 0) opts.onEvents(events, atRevision);
        },
        onEnd(reason) {
          if (isEnded) return;
          if (reason === "compacted") {
            log.info(`history of ${prefix} after ${revision} is gone`);
            read();
            return;
          }
          setReachable(false);
          retry(() => watch(revision));
        },
      },
    });
  }

  read();
  return {
    cancel() {
      isEnded = true;
      watching?.cancel();
    },
  };
}
