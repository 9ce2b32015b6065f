import type { Subscription } from "@toucantrestle/timer";

/** A value with the store revision of its last change. */
export interface Versioned {
  key: string;
  value: string;
  modRevision: number;
}

/** Result of a read of all keys below a prefix. */
export interface Listing {
  items: Versioned[];
  /** Store revision at which the items were read. */
  revision: number;
}

/** Condition of a transaction: the key's revision, 0 where it is absent. */
export interface Compare {
  key: string;
  modRevision: number;
}

/** A write of a transaction. */
export interface Put {
  key: string;
  value: string;
  /** Lease with which the key disappears. */
  lease?: string;
}

/** Keys from `from` (included) to `to` (excluded). */
export interface KeyRange {
  from: string;
  to: string;
}

/** All writes are made if all conditions hold, else none. */
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
  /** Where it failed: state of the compared keys that exist. */
  current: Versioned[];
}

/** A change that a watch reports. */
export type StoreEvent =
  | { kind: "put"; item: Versioned }
  | { kind: "delete"; key: string };

/** Why a watch has ended. */
export type WatchEnd = "lost" | "compacted";

/** What a watch calls. */
export interface WatchHandlers {
  /** Called with the changes of one store revision. */
  onEvents(events: StoreEvent[], revision: number): void;
  /**
   * Called once when the watch has ended; it does not restart by itself. A
   * compacted history must be read anew.
   */
  onEnd(reason?: WatchEnd): void;
}

/** The platform's key-value service. All methods throw `StoreError`. */
export interface ConfigStore {
  get(key: string): Promise<Versioned | undefined>;
  /** Reads keys below a prefix, from `from` where it is given. */
  list(prefix: string, from?: string): Promise<Listing>;
  txn(txn: Txn): Promise<TxnResult>;
  /** Grants a lease. */
  grantLease(ttlS: number): Promise<string>;
  /** Renews a lease. Returns false when it has lapsed. */
  keepLease(lease: string): Promise<boolean>;
  revokeLease(lease: string): Promise<void>;
  watch(
    prefix: string,
    opts: { fromRevision: number; handlers: WatchHandlers },
  ): Subscription;
}
