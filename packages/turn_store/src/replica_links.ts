import { LinkClient } from "@toucantrestle/link";
import type { Logger } from "@toucantrestle/log";
import type { Timer } from "@toucantrestle/timer";
import {
  quorumOf,
  type ReplicaHost,
  replicasOf,
  type View,
  type Witness,
} from "@toucantrestle/turn_log";
import type {
  Refusal,
  SettleNotice,
  StoreMethods,
  StoreNotices,
} from "./messages.ts";

/** Settings of the links to replicas. */
export interface ReplicaLinksOptions {
  /** Name of this host. */
  self: string;
  /** Data centre whose replicas are asked first. */
  dataCentre: string;
  timer: Timer;
  log: Logger;
  /** Called when a replica hands out a newer view. */
  onView: (view: View) => void;
  /** Called when a replica is reached or lost. */
  onChange?: () => void;
  /** Asks a replica through a sibling that reaches it. */
  relay?: Relay;
}

/** Requests on records, which siblings pass on to each other. */
export type RecordMethod = "reserve" | "spending" | "find" | "put";

/** Asks a replica through a sibling. */
export type Relay = <K extends RecordMethod>(
  memberId: string,
  name: K,
  args: StoreMethods[K]["args"],
) => Promise<StoreMethods[K]["result"]>;

/** Reply of a replica that served the request. */
export type Served<K extends RecordMethod> =
  & Extract<StoreMethods[K]["result"], { status: "ok" }>
  & Witness;

type StoreLink = LinkClient<StoreMethods, StoreNotices>;

/** A replica that is slow is not waited for longer than this. */
const REPLY_TIMEOUT_MS = 1_000;
/** The next replica is asked after this long without a reply. */
const HEDGE_MS = 25;
/** A sibling is asked too when a replica says nothing for this long. */
const RELAY_AFTER_MS = 150;

/** Links to the members of the current view, and how they are asked. */
export class ReplicaLinks {
  readonly #opts: ReplicaLinksOptions;
  readonly #links = new Map<string, StoreLink>();

  constructor(opts: ReplicaLinksOptions) {
    this.#opts = opts;
  }

  /** Members that answer. */
  get openCount(): number {
    return [...this.#links.values()].filter((it) => it.isOpen).length;
  }

  /** Dials the members of a view and lets go of all others. */
  connect(view: View): void {
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

  close(): void {
    for (const link of this.#links.values()) link.close();
  }

  /** Passes a sibling's request on to a replica. */
  forward<K extends RecordMethod>(
    memberId: string,
    name: K,
    args: StoreMethods[K]["args"],
  ): Promise<StoreMethods[K]["result"]> {
    const link = this.#links.get(memberId);
    if (!link) return Promise.reject(new Error(`no replica ${memberId}`));
    return link.request(name, args, REPLY_TIMEOUT_MS);
  }

  /** Passes a notice on to a replica; false where no link to it is open. */
  forwardSettle(memberId: string, notice: SettleNotice): boolean {
    const link = this.#links.get(memberId);
    if (!link?.isOpen) return false;
    link.notify("settle", notice);
    return true;
  }

  /** Asks all replicas of a key; resolves at a quorum or when all have spoken. */
  askAll<K extends RecordMethod>(
    view: View,
    key: string,
    name: K,
    args: StoreMethods[K]["args"],
  ): Promise<Served<K>[]> {
    const replicas = replicasOf(view, key);
    const needed = neededReplies(view, key);
    return new Promise((resolve) => {
      const replies: Served<K>[] = [];
      let open = replicas.length;
      for (const member of replicas) {
        this.#ask(view, member, name, args).then((reply) => {
          open -= 1;
          if (reply) replies.push(reply);
          if (replies.length >= needed || open === 0) resolve(replies);
        });
      }
    });
  }

  /**
   * Asks replicas one after the other, nearest first and `atOnce` at a time,
   * without waiting long for any; resolves when `isEnough`.
   */
  askSome<K extends RecordMethod>(
    opts: {
      view: View;
      key: string;
      name: K;
      args: StoreMethods[K]["args"];
      atOnce: number;
      isEnough: (replies: Served<K>[]) => boolean;
    },
  ): Promise<Served<K>[]> {
    const { view, name, args } = opts;
    const replicas = this.#nearestFirst(replicasOf(view, opts.key));
    const replies: Served<K>[] = [];
    return new Promise((resolve) => {
      let next = 0;
      let open = 0;
      const askNext = () => {
        const member = replicas[next];
        if (!member) return;
        next += 1;
        open += 1;
        const hedge = this.#opts.timer.after(HEDGE_MS, askNext);
        this.#ask(view, member, name, args).then((reply) => {
          hedge.cancel();
          open -= 1;
          if (reply) replies.push(reply);
          if (opts.isEnough(replies)) return resolve(replies);
          if (open === 0 && next >= replicas.length) return resolve(replies);
          if (!reply || open === 0) askNext();
        });
      };
      for (let i = 0; i < opts.atOnce; i++) askNext();
    });
  }

  /** Asks one replica; undefined where it did not serve the request. */
  async #ask<K extends RecordMethod>(
    view: View,
    member: ReplicaHost,
    name: K,
    args: StoreMethods[K]["args"],
  ): Promise<Served<K> | undefined> {
    try {
      const reply = await this.#request(member, name, args);
      if (reply.status === "ok") {
        return { ...reply, member: member.id } as Served<K>;
      }
      this.#handleRefusal(view, member, reply as Refusal);
    } catch (err) {
      this.#opts.log.debug(`turn store ${member.host}: ${String(err)}`);
    }
    return undefined;
  }

  /** Asks a replica directly, and through a sibling when that takes long. */
  #request<K extends RecordMethod>(
    member: ReplicaHost,
    name: K,
    args: StoreMethods[K]["args"],
  ): Promise<StoreMethods[K]["result"]> {
    const { relay, timer } = this.#opts;
    const link = this.#links.get(member.id);
    const direct = link?.isOpen
      ? link.request(name, args, REPLY_TIMEOUT_MS)
      : undefined;
    if (!relay) return direct ?? Promise.reject(new Error("no link"));
    if (!direct) return relay(member.id, name, args);
    return new Promise((resolve, reject) => {
      const askSibling = () =>
        relay(member.id, name, args).then(resolve, reject);
      const late = timer.after(RELAY_AFTER_MS, askSibling);
      direct.then((reply) => {
        late.cancel();
        resolve(reply);
      }, () => {
        late.cancel();
        askSibling();
      });
    });
  }

  #handleRefusal(view: View, member: ReplicaHost, refusal: Refusal): void {
    const link = this.#links.get(member.id);
    if (refusal.status === "behind") link?.notify("view", view);
    if (refusal.status !== "moved") return;
    this.#opts.onView(refusal.view);
  }

  #nearestFirst(replicas: ReplicaHost[]): ReplicaHost[] {
    const isNear = (it: ReplicaHost) =>
      it.dataCentre === this.#opts.dataCentre ? 0 : 1;
    return [...replicas].sort((a, b) => isNear(a) - isNear(b));
  }

  #dial(member: ReplicaHost): void {
    const { self, timer, log, onChange } = this.#opts;
    const link: StoreLink = new LinkClient({
      self,
      address: member.address,
      timer,
      log,
      onOpen: () => {
        log.info(`turn store ${member.host} answers`);
        onChange?.();
      },
      onLost: () => {
        log.warn(`turn store ${member.host} is lost`);
        onChange?.();
      },
    });
    this.#links.set(member.id, link);
  }
}

/** Replies that make a quorum and meet every other quorum. */
export function neededReplies(view: View, key: string): number {
  const majority = Math.floor(replicasOf(view, key).length / 2) + 1;
  return Math.max(quorumOf(view), majority);
}
