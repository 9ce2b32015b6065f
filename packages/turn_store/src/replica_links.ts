import { LinkClient } from "@toucantrestle/link";
import type { Logger } from "@toucantrestle/log";
import type { MemoryHolders } from "@toucantrestle/memory";
import type { Timer } from "@toucantrestle/timer";
import {
  quorumSize,
  type ReplicaHost,
  replicasOf,
  type Responder,
  type View,
} from "@toucantrestle/turn_log";
import type {
  Refusal,
  SettleNotice,
  StoreMethods,
  StoreNotices,
} from "./messages.ts";

/** Options of the links to replicas. */
export interface ReplicaLinksOptions {
  /** Name of this host. */
  self: string;
  /** Data centre of this host; its replicas are preferred. */
  dataCentre: string;
  timer: Timer;
  log: Logger;
  /** Called when a replica returns a newer view. */
  onView: (view: View) => void;
  /** Called when a link to a replica opens or is lost. */
  onReachabilityChange?: () => void;
  /** What keeps memory for peers. */
  holders?: MemoryHolders;
  /** Sends a request to a replica through a sibling. */
  relay?: Relay;
  /** Forwards a settle notice to a replica through a sibling. */
  relaySettle?: (memberId: string, notice: SettleNotice) => void;
}

/** Request methods on records, which siblings can forward for each other. */
export type RecordMethod =
  | "reserve"
  | "spending"
  | "retain"
  | "find"
  | "put";

/** Sends a request to a replica through a sibling. */
export type Relay = <K extends RecordMethod>(
  memberId: string,
  name: K,
  args: StoreMethods[K]["args"],
) => Promise<StoreMethods[K]["result"]>;

/** Reply of a replica that served the request, and the id of its disk. */
export type ServedReply<K extends RecordMethod> =
  & Extract<StoreMethods[K]["result"], { status: "ok" }>
  & Responder;

type StoreLink = LinkClient<StoreMethods, StoreNotices>;

/**
 * Time between two pings of a silent link, for each member of the view. It
 * bounds the messages per second, however many replicas there are.
 */
const PING_INTERVAL_PER_MEMBER_MS = 125;
const MIN_PING_INTERVAL_MS = 500;
/** Timeout for the reply of a replica. */
const REPLY_TIMEOUT_MS = 1_000;
/** Time without a reply after which the next replica is asked as well. */
const HEDGE_DELAY_MS = 25;
/** Time without a reply after which the request is also sent via a sibling. */
const RELAY_DELAY_MS = 150;

/** Maintains links to the members of a view and sends requests over them. */
export class ReplicaLinks {
  readonly #opts: ReplicaLinksOptions;
  readonly #links = new Map<string, StoreLink>();
  #isClosed = false;

  constructor(opts: ReplicaLinksOptions) {
    this.#opts = opts;
  }

  /** Number of members with an open link. */
  get openLinkCount(): number {
    return [...this.#links.values()].filter((it) => it.isOpen).length;
  }

  /** Dials the members of a view and closes the links to all other replicas. */
  connect(view: View): void {
    if (this.#isClosed) return;
    const wanted = new Set(view.members.map((it) => it.id));
    for (const [id, link] of this.#links) {
      if (wanted.has(id)) continue;
      link.close();
      this.#links.delete(id);
    }
    for (const member of view.members) {
      if (!this.#links.has(member.id)) this.#dial(member);
    }
  }

  /** Closes all links; none is dialled any more. */
  close(): void {
    this.#isClosed = true;
    for (const link of this.#links.values()) link.close();
  }

  /** Forwards a sibling's request to a replica. */
  forward<K extends RecordMethod>(
    memberId: string,
    name: K,
    args: StoreMethods[K]["args"],
  ): Promise<StoreMethods[K]["result"]> {
    const link = this.#links.get(memberId);
    if (!link) return Promise.reject(new Error(`unknown replica ${memberId}`));
    return link.request(name, args, REPLY_TIMEOUT_MS);
  }

  /**
   * Sends a notice to a quorum of the replicas of a program, nearest first.
   * Every other quorum intersects it. Replicas without an open link are reached
   * through a sibling, and only if too few have one.
   */
  settle(view: View, notice: SettleNotice): void {
    const replicas = this.#sortByProximity(replicasOf(view, notice.program));
    const unreached: ReplicaHost[] = [];
    let missing = requiredReplies(view, notice.program);
    for (const member of replicas) {
      if (missing === 0) return;
      if (this.forwardSettle(member.id, notice)) missing -= 1;
      else unreached.push(member);
    }
    for (const member of unreached.slice(0, missing)) {
      this.#opts.relaySettle?.(member.id, notice);
    }
  }

  /** Forwards a notice to a replica. Returns false if its link is not open. */
  forwardSettle(memberId: string, notice: SettleNotice): boolean {
    const link = this.#links.get(memberId);
    if (!link?.isOpen) return false;
    link.notify("settle", notice);
    return true;
  }

  /**
   * Sends hedged requests to the replicas of a key, nearest first: starts with
   * `concurrency` requests and adds one when a replica fails or is slow, or
   * when the replies so far do not suffice. Resolves once `isEnough` returns
   * true or all replicas have been tried.
   */
  requestHedged<K extends RecordMethod>(
    opts: {
      view: View;
      key: string;
      name: K;
      args: StoreMethods[K]["args"];
      concurrency: number;
      isEnough: (replies: ServedReply<K>[]) => boolean;
    },
  ): Promise<ServedReply<K>[]> {
    const { view, name, args } = opts;
    const replicas = this.#sortByProximity(replicasOf(view, opts.key));
    const replies: ServedReply<K>[] = [];
    return new Promise((resolve, reject) => {
      let next = 0;
      let pending = 0;
      const requestNext = () => {
        const member = replicas[next];
        if (!member) return;
        next += 1;
        pending += 1;
        const hedgeTimer = this.#opts.timer.after(HEDGE_DELAY_MS, requestNext);
        this.#tryRequest(view, member, name, args).then((reply) => {
          hedgeTimer.cancel();
          pending -= 1;
          if (reply) replies.push(reply);
          if (opts.isEnough(replies)) return resolve(replies);
          if (pending === 0 && next >= replicas.length) return resolve(replies);
          if (!reply || pending === 0) requestNext();
        }).catch(reject);
      };
      for (let i = 0; i < opts.concurrency; i++) requestNext();
    });
  }

  /**
   * Sends a request to one replica of a view. Returns undefined if it was not
   * served.
   */
  async requestFrom<K extends RecordMethod>(
    view: View,
    memberId: string,
    { name, args }: { name: K; args: StoreMethods[K]["args"] },
  ): Promise<ServedReply<K> | undefined> {
    const member = view.members.find((it) => it.id === memberId);
    return member && await this.#tryRequest(view, member, name, args);
  }

  /** Sends a request to a replica. Returns undefined if it was not served. */
  async #tryRequest<K extends RecordMethod>(
    view: View,
    member: ReplicaHost,
    name: K,
    args: StoreMethods[K]["args"],
  ): Promise<ServedReply<K> | undefined> {
    try {
      const reply = await this.#requestWithRelay(member, name, args);
      if (reply.status === "ok") {
        return { ...reply, member: member.id } as ServedReply<K>;
      }
      this.#handleRefusal(view, member, reply as Refusal);
    } catch (err) {
      this.#opts.log.debug(
        `${name} request to turn store ${member.host} failed: ${String(err)}`,
      );
    }
    return undefined;
  }

  /**
   * Sends a request to a replica directly, and through a sibling if there is no
   * link, the direct request fails or its reply is late.
   */
  #requestWithRelay<K extends RecordMethod>(
    member: ReplicaHost,
    name: K,
    args: StoreMethods[K]["args"],
  ): Promise<StoreMethods[K]["result"]> {
    const { relay, timer } = this.#opts;
    const link = this.#links.get(member.id);
    const direct = link?.isOpen
      ? link.request(name, args, REPLY_TIMEOUT_MS)
      : undefined;
    if (!relay) return direct ?? Promise.reject(new Error("no open link"));
    if (!direct) return relay(member.id, name, args);
    return new Promise((resolve, reject) => {
      const requestViaSibling = () =>
        relay(member.id, name, args).then(resolve, reject);
      const relayTimer = timer.after(RELAY_DELAY_MS, requestViaSibling);
      direct.then((reply) => {
        relayTimer.cancel();
        resolve(reply);
      }, () => {
        relayTimer.cancel();
        requestViaSibling();
      });
    });
  }

  /** Sends the view to a replica that is behind, or reports a newer view. */
  #handleRefusal(view: View, member: ReplicaHost, refusal: Refusal): void {
    const link = this.#links.get(member.id);
    if (refusal.status === "behind") link?.notify("view", view);
    if (refusal.status !== "moved") return;
    this.#opts.onView(refusal.view);
  }

  /** Sorts replicas of the own data centre to the front. */
  #sortByProximity(replicas: ReplicaHost[]): ReplicaHost[] {
    const distanceOf = (it: ReplicaHost) =>
      it.dataCentre === this.#opts.dataCentre ? 0 : 1;
    return [...replicas].sort((a, b) => distanceOf(a) - distanceOf(b));
  }

  #dial(member: ReplicaHost): void {
    const { self, timer, log, holders, onReachabilityChange } = this.#opts;
    const link: StoreLink = new LinkClient({
      self,
      address: member.address,
      timer,
      log,
      holders,
      pingIntervalMs: () =>
        Math.max(
          MIN_PING_INTERVAL_MS,
          PING_INTERVAL_PER_MEMBER_MS * this.#links.size,
        ),
      onOpen: () => {
        log.info(`connected to turn store ${member.host}`);
        onReachabilityChange?.();
      },
      onLost: () => {
        log.warn(`lost the connection to turn store ${member.host}`);
        onReachabilityChange?.();
      },
    });
    this.#links.set(member.id, link);
  }
}

/**
 * Returns the number of replies that form a write quorum and intersect with
 * every other set of this size.
 */
export function requiredReplies(view: View, key: string): number {
  const majority = Math.floor(replicasOf(view, key).length / 2) + 1;
  return Math.max(quorumSize(view), majority);
}
