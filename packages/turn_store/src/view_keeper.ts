import { type Fleet, replicaHostOf } from "@toucantrestle/fleet";
import { LinkClient } from "@toucantrestle/link";
import type { Logger } from "@toucantrestle/log";
import type { Subscription, Timer } from "@toucantrestle/timer";
import {
  decideView,
  type HostState,
  type Replica,
  type ReplicaHost,
  type TurnLogRecord,
  type View,
} from "@toucantrestle/turn_log";
import { copyRecords } from "./copy_records.ts";
import type { StoreMethods, StoreNotices } from "./messages.ts";

/** Settings of the keeper. */
export interface ViewKeeperOptions {
  self: ReplicaHost;
  replica: Replica;
  fleet: Fleet;
  isFirstStart: boolean;
  tolerate: number;
  retiring: () => string[];
  onRetired: (host: string) => void;
  /** Writes copied records to the disk. */
  keep: (records: TurnLogRecord[]) => Promise<void>;
  /** Writes the state of the replica to the disk. */
  save: () => Promise<void>;
  timer: Timer;
  log: Logger;
}

/** Link to another turn store, with its last status. */
interface Peer {
  host: ReplicaHost;
  link: LinkClient<StoreMethods, StoreNotices>;
  status: { viewNumber: number; isComplete: boolean } | undefined;
  seenAt: number;
}

const TICK_MS = 300;
const STATUS_TIMEOUT_MS = 250;
/** How long the first view waits for hosts that start at the same time. */
const FIRST_VIEW_MS = 1_200;
const COPY_RETRY_MS = 150;

/** Agrees on views with the other turn stores and copies what is missing. */
export class ViewKeeper {
  readonly #opts: ViewKeeperOptions;
  readonly #peers = new Map<string, Peer>();
  readonly #startedAt: number;
  #ticks: Subscription | undefined;
  #isProposing = false;
  #copying = 0;

  constructor(opts: ViewKeeperOptions) {
    this.#opts = opts;
    this.#startedAt = opts.timer.steady();
  }

  /** Whether others may copy from here: nothing that was kept is missing. */
  get mayHandOut(): boolean {
    const { replica } = this.#opts;
    return replica.isComplete || replica.base !== undefined;
  }

  start(): void {
    this.#ticks = this.#opts.timer.every(TICK_MS, () => this.#tick());
    this.onViewChanged();
  }

  stop(): void {
    this.#ticks?.cancel();
    for (const peer of this.#peers.values()) peer.link.close();
  }

  /** Starts to copy what the new view asks of this replica. */
  onViewChanged(): void {
    this.#dialPeers();
    const { replica } = this.#opts;
    const view = replica.view;
    if (!view || replica.isComplete || this.#copying === view.number) return;
    if (!view.members.some((it) => it.id === this.#opts.self.id)) return;
    this.#copying = view.number;
    this.#copy(view);
  }

  async #copy(view: View): Promise<void> {
    const { replica, log, timer, self } = this.#opts;
    const startedAt = timer.steady();
    while (replica.view === view && !replica.isComplete) {
      const sources = this.#sources(view);
      const copied = await copyRecords({
        view,
        self: self.id,
        sources: sources.map((it) => it.link),
        needed: this.#neededSources(view),
        replica,
        keep: this.#opts.keep,
        log,
      });
      if (copied !== undefined && replica.markComplete(view.number)) {
        await this.#opts.save();
        const ms = Math.round(timer.steady() - startedAt);
        log.info(
          `copied ${copied} records for view ${view.number} in ${ms} ms`,
        );
        return;
      }
      await new Promise<void>((resolve) => {
        timer.after(COPY_RETRY_MS, resolve);
      });
    }
  }

  /** Other members of the view before. */
  #sources(view: View): Peer[] {
    this.#dialPeers();
    const ids = new Set(view.former.map((it) => it.id));
    return [...this.#peers.values()].filter((it) => ids.has(it.host.id));
  }

  /**
   * Others that must answer, so that of each quorum of the view before at
   * least one has been heard.
   */
  #neededSources(view: View): number {
    const own = this.#opts.replica.base ? 1 : 0;
    return Math.max(0, view.former.length - view.tolerate - own);
  }

  async #tick(): Promise<void> {
    this.#dialPeers();
    await Promise.all([...this.#peers.values()].map((it) => this.#ask(it)));
    this.onViewChanged();
    this.#tellRetired();
    if (this.#isProposing || !this.#opts.fleet.isStoreReachable) return;
    const next = this.#nextView();
    if (!next || !this.#isProposer(next)) return;
    this.#isProposing = true;
    await this.#propose(next);
    this.#isProposing = false;
  }

  async #propose(next: View): Promise<void> {
    try {
      await this.#opts.fleet.proposeView(next);
    } catch (err) {
      this.#opts.log.warn(`view ${next.number} may be lost: ${String(err)}`);
    }
  }

  async #ask(peer: Peer): Promise<void> {
    try {
      const status = await peer.link.request("status", {}, STATUS_TIMEOUT_MS);
      // A host whose disk was emptied answers at the same address.
      if (status.id !== peer.host.id) return;
      peer.status = status;
      peer.seenAt = this.#opts.timer.steady();
    } catch {
      // An unreachable peer is seen by its age.
    }
  }

  #nextView(): View | undefined {
    const { replica, tolerate, fleet } = this.#opts;
    const current = replica.view;
    if (!current) return fleet.view ? undefined : this.#firstView(tolerate);
    if (!current.members.some((it) => it.id === this.#opts.self.id)) {
      return undefined;
    }
    return decideView({ current, hosts: this.#hostStates(current) });
  }

  #firstView(tolerate: number): View | undefined {
    const { timer, isFirstStart, fleet } = this.#opts;
    const age = timer.steady() - this.#startedAt;
    if (!isFirstStart || age < FIRST_VIEW_MS) return undefined;
    const members = fleet.hosts
      .filter((it) => it.role === "turn_store")
      .map(replicaHostOf);
    if (members.length <= tolerate) return undefined;
    return { number: 1, tolerate, members, former: [] };
  }

  /** The reachable member with the least id proposes. */
  #isProposer(next: View): boolean {
    const current = this.#opts.replica.view ?? next;
    const ids = current.members
      .filter((it) => this.#isReachable(it.id))
      .map((it) => it.id)
      .sort();
    return ids[0] === this.#opts.self.id;
  }

  #isReachable(id: string): boolean {
    return id === this.#opts.self.id || this.#silentMs(id) < 2 * TICK_MS + 400;
  }

  #silentMs(id: string): number {
    const seenAt = this.#peers.get(id)?.seenAt;
    return seenAt ? this.#opts.timer.steady() - seenAt : Infinity;
  }

  #hostStates(current: View): HostState[] {
    const { self, replica, fleet } = this.#opts;
    const retiring = new Set(this.#opts.retiring());
    const known = new Map(current.members.map((it) => [it.id, it]));
    for (const entry of fleet.hosts) {
      if (entry.role === "turn_store") {
        known.set(entry.id, replicaHostOf(entry));
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

  /** Says that a host is empty once all members of a view without it have all. */
  #tellRetired(): void {
    const { replica, self } = this.#opts;
    const view = replica.view;
    if (!view || !replica.isComplete) return;
    if (!view.members.some((it) => it.id === self.id)) return;
    const isAllComplete = view.members.every((it) => {
      const status = this.#peers.get(it.id)?.status;
      return it.id === self.id ||
        (status?.viewNumber === view.number && status.isComplete &&
          this.#isReachable(it.id));
    });
    if (!isAllComplete) return;
    for (const host of this.#opts.retiring()) {
      const isMember = view.members.some((it) => it.host === host);
      if (!isMember) this.#opts.onRetired(host);
    }
  }

  /** Dials every turn store that is registered or a member. */
  #dialPeers(): void {
    const { self, replica, fleet, timer, log } = this.#opts;
    const view = replica.view;
    const wanted = new Map<string, ReplicaHost>();
    for (const it of view?.former ?? []) wanted.set(it.id, it);
    for (const it of view?.members ?? []) wanted.set(it.id, it);
    for (const it of fleet.hosts) {
      if (it.role === "turn_store") wanted.set(it.id, replicaHostOf(it));
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
      });
      this.#peers.set(id, { host, link, status: undefined, seenAt: 0 });
    }
  }
}
