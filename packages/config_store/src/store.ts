import type { Subscription } from "@toucantrestle/timer";

/** A key and its value, with the store revision of the last change. */
export interface StoreItem {
  key: string;
  value: string;
  modRevision: number;
}

/** Result of listing all keys below a prefix. */
export interface Listing {
  items: StoreItem[];
  /** Store revision at which the items were read. */
  revision: number;
}

/**
 * Condition of a transaction: the key's current revision equals `modRevision`,
 * which is 0 for an absent key.
 */
export interface Compare {
  key: string;
  modRevision: number;
}

/** A write in a transaction. */
export interface Put {
  key: string;
  value: string;
  /** Lease whose end deletes the key. */
  lease?: string;
}

/** Keys from `from` (inclusive) to `to` (exclusive). */
export interface KeyRange {
  from: string;
  to: string;
}

/** A transaction: applies all writes if all conditions hold, otherwise none. */
export interface Txn {
  compares: Compare[];
  puts: Put[];
  deletes: KeyRange[];
}

/** Result of a transaction. */
export interface TxnResult {
  succeeded: boolean;
  /** Store revision after the transaction. */
  revision: number;
  /** If a condition failed: current items of the compared keys that exist. */
  current: StoreItem[];
}

/** A change that a watch reports. */
export type StoreEvent =
  | { kind: "put"; item: StoreItem }
  | { kind: "delete"; key: string; revision: number };

/**
 * Why a watch has ended: the connection was lost, the store has compacted the
 * history from which the watch would continue, its last change is so long ago
 * that the store may have done so, or the changes that follow are too large to
 * be read at once.
 */
export type WatchEndReason = "lost" | "compacted" | "outdated" | "too_large";

/** Callbacks of a watch. */
export interface WatchHandlers {
  /** Called with the changes of one store revision. */
  onEvents(events: StoreEvent[], revision: number): void;
  /**
   * Called once when the watch has ended. It does not restart by itself. After
   * any reason but `lost`, list the keys again before a new watch.
   */
  onEnd(reason?: WatchEndReason): void;
}

/** Options of a watch. */
export interface WatchOptions {
  /** First revision whose changes are reported. */
  fromRevision: number;
  handlers: WatchHandlers;
  /**
   * Time since the watch before was lost, in ms; counts towards a delay before
   * the first read.
   */
  waitedMs?: number;
}

/** The platform's key-value service. Failed calls throw `StoreError`. */
export interface ConfigStore {
  /** Returns the item of a key; undefined if the key is absent. */
  get(key: string): Promise<StoreItem | undefined>;
  /** Lists the keys below a prefix, starting at the key `from` if given. */
  list(prefix: string, from?: string): Promise<Listing>;
  /**
   * Lists the keys below a prefix as they were up to some seconds ago, which
   * costs the service less. A watch from that revision reports what changed
   * since.
   */
  listPossiblyStale?(prefix: string): Promise<Listing>;
  /** Runs a transaction. */
  txn(txn: Txn): Promise<TxnResult>;
  /** Grants a lease and returns its id. */
  grantLease(ttlS: number): Promise<string>;
  /** Renews a lease. Returns false if it has expired. */
  renewLease(lease: string): Promise<boolean>;
  /** Ends a lease, which deletes its keys. */
  revokeLease(lease: string): Promise<void>;
  /** Reports all changes below a prefix from `fromRevision` on. */
  watch(prefix: string, opts: WatchOptions): Subscription;
}
