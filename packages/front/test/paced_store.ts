import type {
  ConfigStore,
  MemoryStore,
  StoreEvent,
  Txn,
  WatchHandlers,
  WatchOptions,
} from "@toucantrestle/config_store";
import { testProtocol } from "./test_protocol.ts";

/** A front that reads seldom looks this often whether it reads often. */
const STEP_MS = 200;

interface HeldEvents {
  events: StoreEvent[];
  revision: number;
}

/**
 * The store as one front of a large fleet reads it: changes of upstreams are
 * held back while the front reads seldom.
 */
export class PacedStore implements ConfigStore {
  readonly #store: MemoryStore;
  readonly #readsOften: () => boolean;

  constructor(store: MemoryStore, readsOften: () => boolean) {
    this.#store = store;
    this.#readsOften = readsOften;
  }

  watch(prefix: string, opts: WatchOptions) {
    if (prefix !== testProtocol.upstreamPrefix) {
      return this.#store.watch(prefix, opts);
    }
    const held: HeldEvents[] = [];
    let endWith: (() => void) | undefined;
    const flush = () => {
      if (!this.#readsOften()) return;
      for (const { events, revision } of held.splice(0)) {
        opts.handlers.onEvents(events, revision);
      }
      endWith?.();
    };
    const interval = setInterval(flush, STEP_MS).unref();
    const handlers: WatchHandlers = {
      onEvents: (events, revision) => {
        held.push({ events, revision });
        flush();
      },
      // A front that reads seldom learns it with its next read.
      onEnd: (reason) => {
        endWith = () => {
          clearInterval(interval);
          opts.handlers.onEnd(reason);
        };
        flush();
      },
    };
    const subscription = this.#store.watch(prefix, { ...opts, handlers });
    return {
      cancel() {
        clearInterval(interval);
        subscription.cancel();
      },
    };
  }

  get(key: string) {
    return this.#store.get(key);
  }

  list(prefix: string) {
    return this.#store.list(prefix);
  }

  txn(txn: Txn) {
    return this.#store.txn(txn);
  }

  grantLease() {
    return this.#store.grantLease();
  }

  renewLease() {
    return this.#store.renewLease();
  }

  revokeLease() {
    return this.#store.revokeLease();
  }
}
