import type {
  ConfigStore,
  StoreEvent,
  StoreItem,
} from "@toucantrestle/config_store";
import type { Role } from "@toucantrestle/http";
import type { Logger } from "@toucantrestle/log";
import type { HostRecord, ShardRecord } from "@toucantrestle/membership";
import type { ClusterView, Conviction } from "@toucantrestle/sibling";
import {
  createTableView,
  EMPTY_TABLE,
  type Table,
  type TableView,
} from "@toucantrestle/table";
import type { Subscription, Timer } from "@toucantrestle/timer";
import { CONVICTIONS, HOSTS, KEYS, META, SHARDS, TABLE } from "./keyspace.ts";

/** A key as it is kept in the service, under its hash. */
export interface KeyRecord {
  name: string;
  role: Role;
  createdAt: number;
}

/** A request that is known to crash upstreams, as it is kept. */
export type ConvictionRecord = Conviction;

/** A shard's record with the revision of its last change. */
export interface KnownShard {
  record: ShardRecord;
  modRevision: number;
}

/** The table with the revision of its last change in the service. */
export interface KnownTable {
  table: Table;
  modRevision: number;
}

const RELOAD_DELAY_MS = 500;

/**
 * This daemon's view of everything below `META` in the platform's service,
 * kept up to date by one watch. It stays usable while the service is down.
 */
export class StoreView {
  readonly hosts = new Map<string, HostRecord>();
  readonly shards = new Map<number, KnownShard>();
  readonly keys = new Map<string, KeyRecord>();
  readonly convictions = new Map<string, ConvictionRecord>();
  #table: KnownTable = { table: EMPTY_TABLE, modRevision: 0 };
  #tableView: TableView = createTableView(EMPTY_TABLE);
  #isLoaded = false;
  readonly #store: ConfigStore;
  readonly #timer: Timer;
  readonly #log: Logger;
  readonly #listeners = new Set<() => void>();
  #watch: Subscription | undefined;
  #isClosed = false;

  constructor(opts: { store: ConfigStore; timer: Timer; log: Logger }) {
    this.#store = opts.store;
    this.#timer = opts.timer;
    this.#log = opts.log;
  }

  /** Whether the view was read from the service at least once. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /** Whether callers' keys are known, from the service or from siblings. */
  get isUsable(): boolean {
    return this.#isLoaded || this.keys.size > 0;
  }

  /** Whether the watch stands, so that the view is fresh. */
  get isWatching(): boolean {
    return this.#watch !== undefined;
  }

  get table(): Table {
    return this.#table.table;
  }

  get knownTable(): KnownTable {
    return this.#table;
  }

  /** Typed view of the table in force. */
  get tableView(): TableView {
    return this.#tableView;
  }

  /** Calls `fn` after each change. */
  onChange(fn: () => void): void {
    this.#listeners.add(fn);
  }

  /** Loads the view and keeps it up to date. */
  start(): void {
    this.#load();
  }

  close(): void {
    this.#isClosed = true;
    this.#watch?.cancel();
  }

  /** Takes a table of a higher revision into force; lower ones never. */
  takeTable(table: Table, modRevision: number): void {
    const known = this.#table;
    if (table.revision > known.table.revision) {
      this.#table = { table, modRevision };
      this.#tableView = createTableView(table);
      this.#log.info(`table revision ${table.revision} is in force`);
      this.#notify();
    } else if (table.revision === known.table.revision) {
      known.modRevision = Math.max(known.modRevision, modRevision);
    }
  }

  /** Takes what siblings know, while the service cannot be watched. */
  takeCluster({ hosts, shards, keys }: ClusterView): void {
    if (this.isWatching) return;
    if (!this.#isLoaded) {
      for (const host of hosts) this.hosts.set(host.runId, host);
      for (const { hash, ...record } of keys) this.keys.set(hash, record);
    }
    for (const record of shards) {
      const known = this.shards.get(record.shard);
      if (known && known.record.epoch >= record.epoch) continue;
      this.shards.set(record.shard, { record, modRevision: 0 });
    }
    this.#notify();
  }

  /** Takes a shard's record that this daemon has written or read itself. */
  takeShard(record: ShardRecord, modRevision: number): void {
    const known = this.shards.get(record.shard);
    if (known && known.modRevision >= modRevision) return;
    this.shards.set(record.shard, { record, modRevision });
    this.#notify();
  }

  async #load(): Promise<void> {
    if (this.#isClosed) return;
    try {
      const listing = await this.#store.list(META);
      this.#replace(listing.items);
      this.#isLoaded = true;
      this.#watch = this.#store.watch(META, {
        fromRevision: listing.revision + 1,
        handlers: {
          onEvents: (events) => this.#onEvents(events),
          onEnd: () => this.#onWatchEnd(),
        },
      });
      this.#notify();
    } catch {
      this.#reloadLater();
    }
  }

  #onWatchEnd(): void {
    this.#watch = undefined;
    if (!this.#isClosed) {
      this.#log.warn("the watch on the key-value service has ended");
    }
    this.#reloadLater();
  }

  #reloadLater(): void {
    if (this.#isClosed) return;
    this.#timer.after(RELOAD_DELAY_MS, () => this.#load());
  }

  /** Drops what the service no longer has; takes everything it has. */
  #replace(items: StoreItem[]): void {
    const names = new Set(items.map((item) => item.key));
    for (const runId of [...this.hosts.keys()]) {
      if (!names.has(HOSTS + runId)) this.hosts.delete(runId);
    }
    for (const hash of [...this.keys.keys()]) {
      if (!names.has(KEYS + hash)) this.keys.delete(hash);
    }
    for (const item of items) this.#takeItem(item);
  }

  #onEvents(events: StoreEvent[]): void {
    for (const event of events) {
      if (event.kind === "put") this.#takeItem(event.item);
      else this.#takeDelete(event.key);
    }
    this.#notify();
  }

  #takeItem({ key, value, modRevision }: StoreItem): void {
    const parsed = JSON.parse(value) as unknown;
    if (key === TABLE) {
      this.takeTable(parsed as Table, modRevision);
    } else if (key.startsWith(HOSTS)) {
      const host = parsed as HostRecord;
      this.hosts.set(host.runId, host);
    } else if (key.startsWith(SHARDS)) {
      const record = parsed as ShardRecord;
      const known = this.shards.get(record.shard);
      if (known && known.modRevision >= modRevision) return;
      this.shards.set(record.shard, { record, modRevision });
    } else if (key.startsWith(KEYS)) {
      this.keys.set(key.slice(KEYS.length), parsed as KeyRecord);
    } else if (key.startsWith(CONVICTIONS)) {
      const conviction = parsed as ConvictionRecord;
      this.convictions.set(conviction.fingerprint, conviction);
    }
  }

  #takeDelete(key: string): void {
    if (key.startsWith(HOSTS)) this.hosts.delete(key.slice(HOSTS.length));
    if (key.startsWith(KEYS)) this.keys.delete(key.slice(KEYS.length));
    if (key.startsWith(CONVICTIONS)) {
      this.convictions.delete(key.slice(CONVICTIONS.length));
    }
  }

  #notify(): void {
    for (const fn of this.#listeners) fn();
  }
}
