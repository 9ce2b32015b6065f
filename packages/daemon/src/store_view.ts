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
import {
  CONVICTIONS_PREFIX,
  HOSTS_PREFIX,
  KEYS_PREFIX,
  META_PREFIX,
  SHARDS_PREFIX,
  TABLE_KEY,
} from "./keyspace.ts";
import {
  describeDefect,
  parseConviction,
  parseHost,
  parseKey,
  parseShard,
  parseTable,
} from "./stored_records.ts";

/** A key as stored in the service under its hash. */
export interface KeyRecord {
  name: string;
  role: Role;
  createdAt: number;
}

/** A request that is known to crash upstreams, as stored in the service. */
export type ConvictionRecord = Conviction;

/** A shard's record with the revision of its last change. */
export interface VersionedShard {
  record: ShardRecord;
  modRevision: number;
}

/** The table with the revision of its last change in the service. */
export interface VersionedTable {
  table: Table;
  modRevision: number;
}

const RELOAD_DELAY_MS = 500;

/**
 * In-memory copy of all keys below `META_PREFIX` in the key-value service,
 * updated by one watch. It stays usable during an outage of the service.
 */
export class StoreView {
  readonly hosts = new Map<string, HostRecord>();
  readonly shards = new Map<number, VersionedShard>();
  readonly keys = new Map<string, KeyRecord>();
  readonly convictions = new Map<string, ConvictionRecord>();
  #table: VersionedTable = { table: EMPTY_TABLE, modRevision: 0 };
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

  /** Whether the view was loaded from the service at least once. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /** Whether the keys of callers are known from the service or a sibling. */
  get isUsable(): boolean {
    return this.#isLoaded || this.keys.size > 0;
  }

  /** Whether the watch is active, so that the view is up to date. */
  get isWatching(): boolean {
    return this.#watch !== undefined;
  }

  get table(): Table {
    return this.#table.table;
  }

  get versionedTable(): VersionedTable {
    return this.#table;
  }

  /** Typed view of the table that is in force. */
  get tableView(): TableView {
    return this.#tableView;
  }

  /** Calls `fn` after each change. */
  onChange(fn: () => void): void {
    this.#listeners.add(fn);
  }

  /** Loads the view and subscribes to changes. */
  start(): void {
    this.#load();
  }

  close(): void {
    this.#isClosed = true;
    this.#watch?.cancel();
  }

  /** Puts a table in force if its revision is higher than the current one. */
  applyTable(table: Table, modRevision: number): void {
    const current = this.#table;
    if (table.revision > current.table.revision) {
      this.#table = { table, modRevision };
      this.#tableView = createTableView(table);
      this.#log.info(`table revision ${table.revision} is in force`);
      this.#notify();
    } else if (table.revision === current.table.revision) {
      current.modRevision = Math.max(current.modRevision, modRevision);
    }
  }

  /** Merges the view of a sibling while the service cannot be watched. */
  mergeClusterView({ hosts, shards, keys }: ClusterView): void {
    if (this.isWatching) return;
    if (!this.#isLoaded) {
      for (const host of hosts) this.hosts.set(host.runId, host);
      for (const { hash, ...record } of keys) this.keys.set(hash, record);
    }
    for (const record of shards) {
      const current = this.shards.get(record.shard);
      if (current && current.record.epoch >= record.epoch) continue;
      this.shards.set(record.shard, { record, modRevision: 0 });
    }
    this.#notify();
  }

  /** Updates a shard with a record that this daemon has written itself. */
  updateShard(record: ShardRecord, modRevision: number): void {
    const current = this.shards.get(record.shard);
    if (current && current.modRevision >= modRevision) return;
    this.shards.set(record.shard, { record, modRevision });
    this.#notify();
  }

  async #load(): Promise<void> {
    if (this.#isClosed) return;
    try {
      const listing = await this.#store.list(META_PREFIX);
      this.#applyListing(listing.items);
      this.#isLoaded = true;
      this.#watch = this.#store.watch(META_PREFIX, {
        fromRevision: listing.revision + 1,
        handlers: {
          onEvents: (events) => this.#applyEvents(events),
          onEnd: () => this.#handleWatchEnd(),
        },
      });
      this.#notify();
    } catch (err) {
      this.#log.debug(`cannot load the key-value service: ${String(err)}`);
      this.#scheduleReload();
    }
  }

  #handleWatchEnd(): void {
    this.#watch = undefined;
    if (!this.#isClosed) {
      this.#log.warn(
        `watch on the key-value service ended, reloading in ${RELOAD_DELAY_MS} ms`,
      );
    }
    this.#scheduleReload();
  }

  #scheduleReload(): void {
    if (this.#isClosed) return;
    this.#timer.after(RELOAD_DELAY_MS, () => this.#load());
  }

  /** Applies a full listing and removes hosts and keys that it lacks. */
  #applyListing(items: StoreItem[]): void {
    const storedKeys = new Set(items.map((item) => item.key));
    for (const runId of [...this.hosts.keys()]) {
      if (!storedKeys.has(HOSTS_PREFIX + runId)) this.hosts.delete(runId);
    }
    for (const hash of [...this.keys.keys()]) {
      if (!storedKeys.has(KEYS_PREFIX + hash)) this.keys.delete(hash);
    }
    for (const item of items) this.#applyItem(item);
  }

  #applyEvents(events: StoreEvent[]): void {
    for (const event of events) {
      if (event.kind === "put") this.#applyItem(event.item);
      else this.#applyDelete(event.key);
    }
    this.#notify();
  }

  /** Applies an entry; one that is malformed is ignored. */
  #applyItem(item: StoreItem): void {
    try {
      this.#applySound(item);
    } catch (err) {
      const defect = describeDefect(err);
      this.#log.warn(`entry ${item.key} is malformed and ignored: ${defect}`, {
        event: "malformed_entry",
        revision: item.modRevision,
      });
    }
  }

  #applySound({ key, value, modRevision }: StoreItem): void {
    if (key === TABLE_KEY) {
      this.applyTable(parseTable(value), modRevision);
    } else if (key.startsWith(HOSTS_PREFIX)) {
      const host = parseHost(value);
      this.hosts.set(host.runId, host);
    } else if (key.startsWith(SHARDS_PREFIX)) {
      const record = parseShard(value);
      const current = this.shards.get(record.shard);
      if (current && current.modRevision >= modRevision) return;
      this.shards.set(record.shard, { record, modRevision });
    } else if (key.startsWith(KEYS_PREFIX)) {
      this.keys.set(key.slice(KEYS_PREFIX.length), parseKey(value));
    } else if (key.startsWith(CONVICTIONS_PREFIX)) {
      const conviction = parseConviction(value);
      this.convictions.set(conviction.fingerprint, conviction);
    }
  }

  #applyDelete(key: string): void {
    if (key.startsWith(HOSTS_PREFIX)) {
      this.hosts.delete(key.slice(HOSTS_PREFIX.length));
    }
    if (key.startsWith(KEYS_PREFIX)) {
      this.keys.delete(key.slice(KEYS_PREFIX.length));
    }
    if (key.startsWith(CONVICTIONS_PREFIX)) {
      this.convictions.delete(key.slice(CONVICTIONS_PREFIX.length));
    }
  }

  #notify(): void {
    for (const fn of this.#listeners) fn();
  }
}
