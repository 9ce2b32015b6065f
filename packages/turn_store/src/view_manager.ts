import { type Fleet, toReplicaHost } from "@toucantrestle/fleet";
import { LinkClient, type MessageLimits } from "@toucantrestle/link";
import type { Logger } from "@toucantrestle/log";
import type { MemoryHolders } from "@toucantrestle/memory";
import type { Subscription, Timer } from "@toucantrestle/timer";
import {
  decideFirstView,
  decideNextView,
  type FirstViewHost,
  type HostState,
  type Replica,
  type ReplicaHost,
  type TurnLogRecord,
  type View,
} from "@toucantrestle/turn_log";
import { copyRecords } from "./copy_records.ts";
import type { StoreMethods, StoreNotices } from "./messages.ts";
import { chooseWatchers } from "./watchers.ts";

/** Options of the view manager. */
export interface ViewManagerOptions {
  self: ReplicaHost;
  replica: Replica;
  fleet: Fleet;
  /** True if the entire deployment starts for the first time. */
  isFirstStart: boolean;
  /** Number of disks that may fail at the same time. */
  tolerate: number;
  /** Returns the hosts that an operator wants to retire. */
  listRetiringHosts: () => string[];
  /** Called when a host no longer holds records that others need. */
  onHostRetired: (host: string) => void;
  /** Persists copied records. */
  persistRecords: (records: TurnLogRecord[]) => Promise<void>;
  /** Persists the state of the replica. */
  persistState: () => Promise<void>;
  timer: Timer;
  log: Logger;
  /** What keeps memory for peers. */
  holders?: MemoryHolders;
}

/** Link to another turn store, with the last status that it reported. */
interface Peer {
  host: ReplicaHost;
  link: LinkClient<StoreMethods, StoreNotices>;
  status: { viewNumber: number; isComplete: boolean } | undefined;
  /** Monotonic time of the last status, in ms; 0 before the first. */
  lastSeenAt: number;
  /** Monotonic time of its last query for the status here, in ms. */
  heardAt: number;
}

const TICK_INTERVAL_MS = 300;
const STATUS_TIMEOUT_MS = 250;
const REACHABLE_TTL_MS = 2 * TICK_INTERVAL_MS + 400;
/** A watcher that has not sent a query for this long is queried itself. */
const QUERY_AFTER_MS = 1.5 * TICK_INTERVAL_MS;
const PING_INTERVAL_MS = 500;
/** Links that carry no queries are needed only to copy records. */
const UNQUERIED_PING_INTERVAL_MS = 3_000;
const COPY_RETRY_DELAY_MS = 150;
/** A list of all records of a store is one message. */
const INVENTORY_LIMITS: MessageLimits = {
  maxBytes: 64_000_000,
  maxDecodedBytes: 160_000_000,
};

/** Agrees on views with the other turn stores and copies missing records. */
export class ViewManager {
  readonly #opts: ViewManagerOptions;
  readonly #peers = new Map<string, Peer>();
  readonly #startedAt: number;
  /** Whether this store queries all others. */
  #isWatcher = true;
  /** When it began to, in ms; 0 if since its start. */
  #watcherSince = 0;
  #tickSubscription: Subscription | undefined;
  #isProposing = false;
  /** Number of the last view for which copying started; 0 before the first. */
  #copyingViewNumber = 0;

  constructor(opts: ViewManagerOptions) {
    this.#opts = opts;
    this.#startedAt = opts.timer.monotonicNow();
  }

  /** True if peers may copy from here: no acknowledged record is missing. */
  get canServeInventory(): boolean {
    const { replica } = this.#opts;
    return replica.isComplete || replica.base !== undefined;
  }

  /** Starts to poll peers and to propose views. */
  start(): void {
    this.#tickSubscription = this.#opts.timer.every(
      TICK_INTERVAL_MS,
      () => this.#tick(),
    );
    this.onViewChanged();
  }

  /** Stops polling and closes the links to all peers. */
  stop(): void {
    this.#tickSubscription?.cancel();
    for (const peer of this.#peers.values()) peer.link.close();
  }

  /** Starts to copy the records that this replica must hold in the new view. */
  onViewChanged(): void {
    this.#updatePeers();
    const { replica } = this.#opts;
    const view = replica.view;
    if (
      !view || replica.isComplete || this.#copyingViewNumber === view.number
    ) return;
    if (!view.members.some((it) => it.id === this.#opts.self.id)) return;
    this.#copyingViewNumber = view.number;
    this.#copy(view);
  }

  /** Copies records until this replica is complete or the view changes. */
  async #copy(view: View): Promise<void> {
    const { replica, log, timer } = this.#opts;
    const startedAt = timer.monotonicNow();
    while (replica.view === view && !replica.isComplete) {
      const copied = await this.#copyOnce(view);
      if (copied !== undefined && replica.markComplete(view.number)) {
        await this.#opts.persistState();
        const ms = Math.round(timer.monotonicNow() - startedAt);
        log.info(
          `copied ${copied} records for view ${view.number} in ${ms} ms`,
        );
        return;
      }
      await new Promise<void>((resolve) => {
        timer.after(COPY_RETRY_DELAY_MS, resolve);
      });
    }
  }

  /**
   * Tries once to copy all missing records. Returns undefined if some are
   * missing still, also because the own disk cannot be read or written.
   */
  async #copyOnce(view: View): Promise<number | undefined> {
    const { replica, log, self, persistRecords } = this.#opts;
    try {
      return await copyRecords({
        view,
        self: self.id,
        sources: this.#copySources(view).map((it) => it.link),
        requiredSources: this.#requiredSourceCount(view),
        replica,
        persist: persistRecords,
        log,
      });
    } catch (err) {
      log.warn(
        `cannot copy the records of view ${view.number}: ${String(err)}`,
        { event: "copy_failed" },
      );
      return undefined;
    }
  }

  /** Returns the other members of the previous view. */
  #copySources(view: View): Peer[] {
    this.#updatePeers();
    const ids = new Set(view.former.map((it) => it.id));
    return [...this.#peers.values()].filter((it) => ids.has(it.host.id));
  }

  /**
   * Returns the number of other members that must return their inventory, so
   * that at least one member of each quorum of the previous view is included.
   */
  #requiredSourceCount(view: View): number {
    const ownCopies = this.#opts.replica.base ? 1 : 0;
    return Math.max(0, view.former.length - view.tolerate - ownCopies);
  }

  /** A peer has queried the status of this store. */
  recordQuery(id: string | undefined): void {
    const peer = this.#peers.get(id ?? "");
    if (peer) peer.heardAt = this.#opts.timer.monotonicNow();
  }

  /** Polls the peers, then proposes the next view if one is due. */
  async #tick(): Promise<void> {
    this.#updatePeers();
    await Promise.all(this.#peersToQuery().map((it) => this.#pollStatus(it)));
    this.onViewChanged();
    this.#reportRetiredHosts();
    if (this.#isProposing || !this.#opts.fleet.isStoreReachable) return;
    const next = this.#nextView();
    if (!next || !this.#isProposer()) return;
    this.#isProposing = true;
    await this.#propose(next);
    this.#isProposing = false;
  }

  async #propose(next: View): Promise<void> {
    try {
      await this.#opts.fleet.proposeView(next);
    } catch (err) {
      this.#opts.log.warn(
        `proposal of view ${next.number} has an unknown outcome: ${
          String(err)
        }`,
      );
    }
  }

  /**
   * A watcher queries all peers. Another member hears the watchers by their
   * queries, and becomes one when it is next in order and one is lost.
   */
  #peersToQuery(): Peer[] {
    const { self, replica, timer } = this.#opts;
    const peers = [...this.#peers.values()];
    const { view } = replica;
    const isMember = view?.members.some((it) => it.id === self.id);
    const watchers = view && isMember
      ? chooseWatchers(view, (id) => this.#isHeard(id))
      : undefined;
    const now = timer.monotonicNow();
    const isWatcher = watchers?.has(self.id) ?? true;
    if (isWatcher && !this.#isWatcher) this.#watcherSince = now;
    this.#isWatcher = isWatcher;
    if (isWatcher) return peers;
    return peers.filter((it) =>
      watchers?.has(it.host.id) && now - it.heardAt > QUERY_AFTER_MS
    );
  }

  async #pollStatus(peer: Peer): Promise<void> {
    const { id } = this.#opts.self;
    try {
      const status = await peer.link.request(
        "status",
        { id },
        STATUS_TIMEOUT_MS,
      );
      // A host whose disk was emptied has a new id at the same address.
      if (status.id !== peer.host.id) return;
      peer.status = status;
      peer.lastSeenAt = this.#opts.timer.monotonicNow();
    } catch {
      // An unreachable peer is detected by the age of its last status.
    }
  }

  /** Returns the view to propose, or undefined if the current one stays. */
  #nextView(): View | undefined {
    const { replica, tolerate, fleet } = this.#opts;
    const current = replica.view;
    if (!current) return fleet.view ? undefined : this.#firstView(tolerate);
    if (!current.members.some((it) => it.id === this.#opts.self.id)) {
      return undefined;
    }
    return decideNextView({ current, hosts: this.#hostStates(current) });
  }

  #firstView(tolerate: number): View | undefined {
    const { timer, isFirstStart, fleet, self } = this.#opts;
    const hosts = fleet.hosts
      .filter((it) => it.role === "turn_store")
      .map((it): FirstViewHost => ({
        host: toReplicaHost(it),
        isReachable: this.#isReachable(it.id),
        viewNumber: this.#peers.get(it.id)?.status?.viewNumber,
      }));
    return decideFirstView({
      self: self.id,
      hosts,
      uptimeMs: timer.monotonicNow() - this.#startedAt,
      isFirstStart,
      tolerate,
    });
  }

  /**
   * Only the reachable member with the lowest id proposes the views after the
   * first.
   */
  #isProposer(): boolean {
    const members = this.#opts.replica.view?.members;
    if (!members) return true;
    const ids = members
      .filter((it) => this.#isReachable(it.id))
      .map((it) => it.id)
      .sort();
    return ids[0] === this.#opts.self.id;
  }

  #isReachable(id: string): boolean {
    return id === this.#opts.self.id ||
      this.#silentMs(id) < REACHABLE_TTL_MS;
  }

  /** Whether a peer answered a query or sent one recently. */
  #isHeard(id: string): boolean {
    if (id === this.#opts.self.id) return true;
    const { lastSeenAt = 0, heardAt = 0 } = this.#peers.get(id) ?? {};
    const at = Math.max(lastSeenAt, heardAt);
    return at > 0 && this.#opts.timer.monotonicNow() - at < REACHABLE_TTL_MS;
  }

  /**
   * Time since the last status of a peer; Infinity if there was none. A store
   * that has just become a watcher counts from then.
   */
  #silentMs(id: string): number {
    const peer = this.#peers.get(id);
    if (!peer) return Infinity;
    const { lastSeenAt, heardAt } = peer;
    const alsoAt = this.#isWatcher ? this.#watcherSince : heardAt;
    const seenAt = Math.max(lastSeenAt, alsoAt);
    return seenAt ? this.#opts.timer.monotonicNow() - seenAt : Infinity;
  }

  #hostStates(current: View): HostState[] {
    const { self, replica, fleet } = this.#opts;
    const retiring = new Set(this.#opts.listRetiringHosts());
    const known = new Map(current.members.map((it) => [it.id, it]));
    for (const entry of fleet.hosts) {
      if (entry.role === "turn_store") {
        known.set(entry.id, toReplicaHost(entry));
      }
    }
    return [...known.values()].map((host) => {
      const isSelf = host.id === self.id;
      const status = this.#peers.get(host.id)?.status;
      const isCurrent = status?.viewNumber === current.number;
      return {
        host,
        isReachable: this.#isReachable(host.id),
        silentMs: isSelf ? 0 : this.#silentMs(host.id),
        isComplete: isSelf
          ? replica.isComplete
          : isCurrent && status.isComplete,
        isRetiring: retiring.has(host.host),
      };
    });
  }

  /**
   * Reports a retiring host as retired once it has left the view and all
   * members of the view are complete.
   */
  #reportRetiredHosts(): void {
    const { replica, self } = this.#opts;
    const view = replica.view;
    if (!view || !replica.isComplete) return;
    if (!view.members.some((it) => it.id === self.id)) return;
    const isViewComplete = view.members.every((it) => {
      const status = this.#peers.get(it.id)?.status;
      return it.id === self.id ||
        (status?.viewNumber === view.number && status.isComplete &&
          this.#isReachable(it.id));
    });
    if (!isViewComplete) return;
    for (const host of this.#opts.listRetiringHosts()) {
      const isMember = view.members.some((it) => it.host === host);
      if (!isMember) this.#opts.onHostRetired(host);
    }
  }

  /** Dials all registered stores and members; closes links to all others. */
  #updatePeers(): void {
    const { self, replica, fleet, timer, log, holders } = this.#opts;
    const view = replica.view;
    const wanted = new Map<string, ReplicaHost>();
    for (const it of view?.former ?? []) wanted.set(it.id, it);
    for (const it of view?.members ?? []) wanted.set(it.id, it);
    for (const it of fleet.hosts) {
      if (it.role === "turn_store") wanted.set(it.id, toReplicaHost(it));
    }
    wanted.delete(self.id);
    for (const [id, peer] of this.#peers) {
      if (wanted.has(id)) continue;
      peer.link.close();
      this.#peers.delete(id);
    }
    for (const [id, host] of wanted) {
      if (this.#peers.has(id)) continue;
      const link = new LinkClient<StoreMethods, StoreNotices>({
        self: self.host,
        address: host.address,
        timer,
        log,
        holders,
        limits: INVENTORY_LIMITS,
        pingIntervalMs: () =>
          this.#isWatcher ? PING_INTERVAL_MS : UNQUERIED_PING_INTERVAL_MS,
      });
      this.#peers.set(id, {
        host,
        link,
        status: undefined,
        lastSeenAt: 0,
        heardAt: 0,
      });
    }
  }
}
