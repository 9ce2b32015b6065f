import type {
  ConfigStore,
  StoreEvent,
  StoreItem,
} from "@toucantrestle/config_store";
import { listAndWatch } from "@toucantrestle/config_store";
import { Listeners, type Logger } from "@toucantrestle/log";
import type { Subscription, Timer } from "@toucantrestle/timer";
import type { View } from "@toucantrestle/turn_log";
import { type HostEntry, parseHostEntry, parseView } from "./host_entry.ts";

/** Options of a `Fleet`. */
export interface FleetOptions {
  self: HostEntry;
  store: ConfigStore;
  timer: Timer;
  log: Logger;
  /** Returns the longest delay between two retries of the watch, in ms. */
  maxRetryMs?: () => number;
}

/** Hosts and view known to one process, as exchanged between siblings. */
export interface FleetSnapshot {
  hosts: HostEntry[];
  view: View | undefined;
}

const KEY_PREFIX = "fleet/";
const HOST_KEY_PREFIX = `${KEY_PREFIX}hosts/`;
const VIEW_KEY = `${KEY_PREFIX}view`;
const LEASE_TTL_S = 600;
const LEASE_RENEW_INTERVAL_MS = 200_000;
const REGISTER_RETRY_DELAY_MS = 700;

/**
 * Registers this host in the configuration store, and tracks the registered
 * hosts and the current view of turn stores.
 */
export class Fleet {
  readonly #opts: FleetOptions;
  readonly #hosts = new Map<string, HostEntry>();
  readonly #hostListeners: Listeners;
  readonly #viewListeners: Listeners<[View]>;
  #view: View | undefined;
  #viewRevision = 0;
  #isDeregistering = false;
  #isRegistering = false;
  #isStoreReachable = false;
  #lease: string | undefined;
  #watch: Subscription | undefined;
  #leaseRenewal: Subscription | undefined;

  constructor(opts: FleetOptions) {
    this.#opts = opts;
    this.#hostListeners = new Listeners("changes of hosts", opts.log);
    this.#viewListeners = new Listeners("views", opts.log);
  }

  /** All registered hosts, including this one. */
  get hosts(): HostEntry[] {
    return [...this.#hosts.values()];
  }

  /** Returns the registered front of a name. */
  front(host: string): HostEntry | undefined {
    const entry = this.#hosts.get(host);
    return entry?.role === "front" ? entry : undefined;
  }

  /** Names of the registered fronts, including this one. */
  get fronts(): string[] {
    return this.hosts.filter((it) => it.role === "front").map((it) => it.host);
  }

  get view(): View | undefined {
    return this.#view;
  }

  /** Whether the platform's configuration store is reachable. */
  get isStoreReachable(): boolean {
    return this.#isStoreReachable;
  }

  /** Subscribes `fn` to changes of the registered hosts. */
  onHostsChanged(fn: () => void): void {
    this.#hostListeners.add(fn);
  }

  /** Subscribes `fn` to newer views. */
  onView(fn: (view: View) => void): void {
    this.#viewListeners.add(fn);
  }

  start(): void {
    this.#watch = listAndWatch({
      store: this.#opts.store,
      prefix: KEY_PREFIX,
      timer: this.#opts.timer,
      log: this.#opts.log,
      onSnapshot: (items) => this.#applySnapshot(items),
      onEvents: (events) => this.#applyEvents(events),
      onReachable: (isReachable) => this.#isStoreReachable = isReachable,
      ...(this.#opts.maxRetryMs && { maxRetryMs: this.#opts.maxRetryMs }),
    });
    this.#leaseRenewal = this.#opts.timer.every(
      LEASE_RENEW_INTERVAL_MS,
      () => this.#renewLease(),
    );
  }

  /** Deregisters this host by revoking its lease, before shutdown. */
  async deregister(): Promise<void> {
    this.#isDeregistering = true;
    this.#watch?.cancel();
    this.#leaseRenewal?.cancel();
    if (!this.#lease) return;
    await this.#opts.store.revokeLease(this.#lease).catch((err) =>
      this.#opts.log.warn(
        `cannot deregister host ${this.#opts.self.id}: ${String(err)}`,
      )
    );
  }

  /** Returns the hosts and the view known to this process, for siblings. */
  snapshot(): FleetSnapshot {
    return { hosts: this.hosts, view: this.#view };
  }

  /**
   * Merges the snapshot of a sibling: its view if that is newer, and, while the
   * store is unreachable, the hosts that this process does not know.
   */
  merge(snapshot: FleetSnapshot): void {
    if (snapshot.view) this.applyView(snapshot.view);
    if (this.#isStoreReachable) return;
    let isChanged = false;
    for (const host of snapshot.hosts) {
      if (this.#hosts.has(host.id)) continue;
      this.#hosts.set(host.id, host);
      isChanged = true;
    }
    if (isChanged) this.#hostListeners.notify();
  }

  /** Adopts an agreed view if it is newer than the current one. */
  applyView(view: View): void {
    if (this.#view && view.number <= this.#view.number) return;
    this.#view = view;
    this.#opts.log.info(
      `adopted view ${view.number}: members ${
        view.members.map((it) => it.host).join(", ")
      }`,
    );
    this.#viewListeners.notify(view);
  }

  /**
   * Writes `view` to the store unless another process has changed the stored
   * view in the meantime. Returns whether `view` was written.
   *
   * @throws {StoreError} if the store does not respond
   */
  async proposeView(view: View): Promise<boolean> {
    const txn = await this.#opts.store.txn({
      compares: [{ key: VIEW_KEY, modRevision: this.#viewRevision }],
      puts: [{ key: VIEW_KEY, value: JSON.stringify(view) }],
      deletes: [],
    });
    if (!txn.succeeded) return false;
    this.#viewRevision = txn.revision;
    this.applyView(view);
    return true;
  }

  #applySnapshot(items: StoreItem[]): void {
    this.#hosts.clear();
    this.#viewRevision = 0;
    for (const item of items) this.#applyItem(item);
    this.#hostListeners.notify();
    this.#ensureRegistered();
  }

  #applyEvents(events: StoreEvent[]): void {
    for (const event of events) {
      if (event.kind === "put") this.#applyItem(event.item);
      else this.#hosts.delete(event.key.slice(HOST_KEY_PREFIX.length));
    }
    this.#hostListeners.notify();
    this.#ensureRegistered();
  }

  #applyItem(item: StoreItem): void {
    if (item.key === VIEW_KEY) this.#applyViewItem(item);
    if (!item.key.startsWith(HOST_KEY_PREFIX)) return;
    const entry = parseHostEntry(item.value);
    // A deletion names the key alone.
    if (!entry || item.key !== HOST_KEY_PREFIX + entry.id) {
      this.#opts.log.warn(
        `host entry ${JSON.stringify(item.key)} is malformed; ignored`,
      );
      return;
    }
    this.#hosts.set(entry.id, entry);
  }

  #applyViewItem(item: StoreItem): void {
    const view = parseView(item.value);
    if (!view) {
      this.#opts.log.error(
        `view of turn stores in ${item.key} is malformed; ignored`,
      );
      return;
    }
    if (item.modRevision < this.#viewRevision) return;
    this.#viewRevision = item.modRevision;
    this.applyView(view);
  }

  /** Registers this host unless its stored entry is up to date. */
  #ensureRegistered(): void {
    const { self } = this.#opts;
    const current = this.#hosts.get(self.id);
    if (JSON.stringify(current) === JSON.stringify(self)) return;
    this.#register();
  }

  async #register(): Promise<void> {
    if (this.#isDeregistering || this.#isRegistering) return;
    this.#isRegistering = true;
    const { self, store, timer, log } = this.#opts;
    try {
      this.#lease ??= await store.grantLease(LEASE_TTL_S);
      await store.txn({
        compares: [],
        puts: [{
          key: HOST_KEY_PREFIX + self.id,
          value: JSON.stringify(self),
          lease: this.#lease,
        }],
        deletes: this.#staleEntries(),
      });
      log.info(`registered host ${self.id}`);
      this.#isRegistering = false;
    } catch (err) {
      this.#isRegistering = false;
      this.#lease = undefined;
      log.warn(`cannot register host ${self.id}: ${String(err)}`);
      timer.after(REGISTER_RETRY_DELAY_MS, () => this.#ensureRegistered());
    }
  }

  /** Returns key ranges of this host's stale entries, from previous disks. */
  #staleEntries(): { from: string; to: string }[] {
    const { self } = this.#opts;
    return this.hosts
      .filter((it) => it.host === self.host && it.id !== self.id)
      .map((it) => HOST_KEY_PREFIX + it.id)
      .map((key) => ({ from: key, to: `${key}\0` }));
  }

  async #renewLease(): Promise<void> {
    if (!this.#lease) return;
    try {
      const isAlive = await this.#opts.store.renewLease(this.#lease);
      if (isAlive) return;
      this.#lease = undefined;
      this.#register();
    } catch (err) {
      this.#opts.log.warn(`cannot renew lease ${this.#lease}: ${String(err)}`);
    }
  }
}
