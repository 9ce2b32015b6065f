import type {
  ConfigStore,
  StoreEvent,
  Versioned,
} from "@toucantrestle/config_store";
import { follow } from "@toucantrestle/config_store";
import type { Logger } from "@toucantrestle/log";
import type { Subscription, Timer } from "@toucantrestle/timer";
import type { View } from "@toucantrestle/turn_log";
import { type HostEntry, readHostEntry, readView } from "./host_entry.ts";

/** Settings of the list of hosts. */
export interface FleetOptions {
  self: HostEntry;
  store: ConfigStore;
  timer: Timer;
  log: Logger;
}

/** What one process knows of the others, as passed between siblings. */
export interface FleetSnapshot {
  hosts: HostEntry[];
  view: View | undefined;
}

const PREFIX = "fleet/";
const HOSTS_PREFIX = `${PREFIX}hosts/`;
const VIEW_KEY = `${PREFIX}view`;
const LEASE_TTL_S = 600;
const LEASE_RENEW_MS = 200_000;
const REGISTER_RETRY_MS = 700;

/** The hosts that registered themselves, and the view of turn stores. */
export class Fleet {
  readonly #opts: FleetOptions;
  readonly #hosts = new Map<string, HostEntry>();
  readonly #hostListeners: (() => void)[] = [];
  readonly #viewListeners: ((view: View) => void)[] = [];
  #view: View | undefined;
  #viewRevision = 0;
  #isLeaving = false;
  #isRegistering = false;
  #isReachable = false;
  #lease: string | undefined;
  #follow: Subscription | undefined;
  #renewal: Subscription | undefined;

  constructor(opts: FleetOptions) {
    this.#opts = opts;
  }

  /** All hosts that are registered, this one included. */
  get hosts(): HostEntry[] {
    return [...this.#hosts.values()];
  }

  get view(): View | undefined {
    return this.#view;
  }

  /** True while the platform's store answers this process. */
  get isStoreReachable(): boolean {
    return this.#isReachable;
  }

  /** Calls `fn` after each change of the hosts. */
  onHosts(fn: () => void): void {
    this.#hostListeners.push(fn);
  }

  /** Calls `fn` with each newer view. */
  onView(fn: (view: View) => void): void {
    this.#viewListeners.push(fn);
  }

  start(): void {
    this.#follow = follow({
      store: this.#opts.store,
      prefix: PREFIX,
      timer: this.#opts.timer,
      log: this.#opts.log,
      onSnapshot: (items) => this.#takeSnapshot(items),
      onEvents: (events) => this.#takeEvents(events),
      onReachable: (isReachable) => this.#isReachable = isReachable,
    });
    this.#renewal = this.#opts.timer.every(
      LEASE_RENEW_MS,
      () => this.#renew(),
    );
  }

  /** Takes this host's entry away, as it stops. */
  async leave(): Promise<void> {
    this.#isLeaving = true;
    this.#follow?.cancel();
    this.#renewal?.cancel();
    if (!this.#lease) return;
    await this.#opts.store.revokeLease(this.#lease).catch((err) =>
      this.#opts.log.warn(`entry cannot be taken away: ${String(err)}`)
    );
  }

  /** What this process knows, for siblings. */
  snapshot(): FleetSnapshot {
    return { hosts: this.hosts, view: this.#view };
  }

  /** Takes what a sibling knows, while the store does not answer. */
  merge(snapshot: FleetSnapshot): void {
    if (snapshot.view) this.takeView(snapshot.view);
    if (this.#isReachable) return;
    let isChanged = false;
    for (const host of snapshot.hosts) {
      if (this.#hosts.has(host.id)) continue;
      this.#hosts.set(host.id, host);
      isChanged = true;
    }
    if (isChanged) this.#tellHosts();
  }

  /** Takes a view that was agreed, when it is newer than the known one. */
  takeView(view: View): void {
    if (this.#view && view.number <= this.#view.number) return;
    this.#view = view;
    this.#opts.log.info(
      `view ${view.number} has ${view.members.map((it) => it.host).join(", ")}`,
    );
    for (const fn of this.#viewListeners) fn(view);
  }

  /**
   * Makes `view` the agreed one if nobody was faster.
   *
   * @throws {StoreError} when the store does not answer
   */
  async proposeView(view: View): Promise<boolean> {
    const txn = await this.#opts.store.txn({
      compares: [{ key: VIEW_KEY, modRevision: this.#viewRevision }],
      puts: [{ key: VIEW_KEY, value: JSON.stringify(view) }],
      deletes: [],
    });
    if (!txn.succeeded) return false;
    this.#viewRevision = txn.revision;
    this.takeView(view);
    return true;
  }

  #takeSnapshot(items: Versioned[]): void {
    this.#hosts.clear();
    this.#viewRevision = 0;
    for (const item of items) this.#takeItem(item);
    this.#tellHosts();
    this.#checkOwnEntry();
  }

  #takeEvents(events: StoreEvent[]): void {
    for (const event of events) {
      if (event.kind === "put") this.#takeItem(event.item);
      else this.#hosts.delete(event.key.slice(HOSTS_PREFIX.length));
    }
    this.#tellHosts();
    this.#checkOwnEntry();
  }

  #takeItem(item: Versioned): void {
    if (item.key === VIEW_KEY) this.#takeViewItem(item);
    if (!item.key.startsWith(HOSTS_PREFIX)) return;
    const entry = readHostEntry(item.value);
    if (!entry) {
      this.#opts.log.warn(`entry ${item.key} cannot be read`);
      return;
    }
    this.#hosts.set(entry.id, entry);
  }

  #takeViewItem(item: Versioned): void {
    const view = readView(item.value);
    if (!view) {
      this.#opts.log.error(`the view of turn stores cannot be read`);
      return;
    }
    if (item.modRevision < this.#viewRevision) return;
    this.#viewRevision = item.modRevision;
    this.takeView(view);
  }

  #tellHosts(): void {
    for (const fn of this.#hostListeners) fn();
  }

  /** Registers this host unless its entry stands as it should. */
  #checkOwnEntry(): void {
    const { self } = this.#opts;
    const known = this.#hosts.get(self.id);
    if (JSON.stringify(known) === JSON.stringify(self)) return;
    this.#register();
  }

  async #register(): Promise<void> {
    if (this.#isLeaving || this.#isRegistering) return;
    this.#isRegistering = true;
    const { self, store, timer, log } = this.#opts;
    try {
      this.#lease ??= await store.grantLease(LEASE_TTL_S);
      await store.txn({
        compares: [],
        puts: [{
          key: HOSTS_PREFIX + self.id,
          value: JSON.stringify(self),
          lease: this.#lease,
        }],
        deletes: this.#formerEntries(),
      });
      log.info(`registered as ${self.id}`);
      this.#isRegistering = false;
    } catch (err) {
      this.#isRegistering = false;
      this.#lease = undefined;
      log.warn(`cannot register: ${String(err)}`);
      timer.after(REGISTER_RETRY_MS, () => this.#checkOwnEntry());
    }
  }

  /** Entries of this host's earlier disks. */
  #formerEntries(): { from: string; to: string }[] {
    const { self } = this.#opts;
    return this.hosts
      .filter((it) => it.host === self.host && it.id !== self.id)
      .map((it) => HOSTS_PREFIX + it.id)
      .map((key) => ({ from: key, to: `${key}\0` }));
  }

  async #renew(): Promise<void> {
    if (!this.#lease) return;
    try {
      const isAlive = await this.#opts.store.keepLease(this.#lease);
      if (isAlive) return;
      this.#lease = undefined;
      this.#register();
    } catch (err) {
      this.#opts.log.warn(`lease cannot be renewed: ${String(err)}`);
    }
  }
}
