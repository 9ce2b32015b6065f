import { LinkClient } from "@toucantrestle/link";
import type { Logger } from "@toucantrestle/log";
import type { Timer } from "@toucantrestle/timer";
import {
  type BudgetVerdict,
  decideBudget,
  decideLookup,
  type LookupVerdict,
  type PromptHint,
  quorumOf,
  type ReplicaHost,
  replicasOf,
  type View,
  type Witness,
} from "@toucantrestle/turn_log";
import type {
  NewTurn,
  Refusal,
  ReserveArgs,
  SettleNotice,
  StoreMethods,
  StoreNotices,
} from "./messages.ts";

/** Settings of the client. */
export interface TurnStoreClientOptions {
  /** Name of this host. */
  self: string;
  /** Data centre whose replicas are asked first. */
  dataCentre: string;
  timer: Timer;
  log: Logger;
  /** Called when a replica hands out a newer view. */
  onView: (view: View) => void;
  /** Asks a replica through a sibling that reaches it. */
  relay?: Relay;
  relaySettle?: (memberId: string, notice: SettleNotice) => void;
  /** Whether some sibling reaches the replicas. */
  canRelay?: () => boolean;
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
type Served<K extends RecordMethod> =
  & Extract<StoreMethods[K]["result"], { status: "ok" }>
  & Witness;

type StoreLink = LinkClient<StoreMethods, StoreNotices>;

/** Outcome of a reservation. */
export interface Reservation {
  verdict: BudgetVerdict;
  /** Where the program's prompts were read before. */
  hints: PromptHint[];
}

/** A replica that is slow is not waited for longer than this. */
const REPLY_TIMEOUT_MS = 1_000;
/** The next replica is asked after this long without a reply. */
const HEDGE_MS = 25;
/** A sibling is asked too when a replica says nothing for this long. */
const RELAY_AFTER_MS = 150;
/** Pause before a refused or unanswered request is tried again. */
const RETRY_MS = 60;

/** Reads and writes turn records on the replicas of the current view. */
export class TurnStoreClient {
  readonly #opts: TurnStoreClientOptions;
  readonly #links = new Map<string, StoreLink>();
  #view: View | undefined;

  constructor(opts: TurnStoreClientOptions) {
    this.#opts = opts;
  }

  get view(): View | undefined {
    return this.#view;
  }

  /** Moves to a newer view and dials its members. */
  takeView(view: View): void {
    if (this.#view && view.number <= this.#view.number) return;
    this.#view = view;
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

  /** True while enough members answer for every record to be kept. */
  get isUsable(): boolean {
    const view = this.#view;
    if (!view) return false;
    const open = view.members.filter((it) => this.#links.get(it.id)?.isOpen);
    return open.length >= quorumOf(view);
  }

  /**
   * Reserves tokens of a program's budget for a turn. Resolves as soon as
   * enough replicas have written it.
   */
  async reserve(
    args: Omit<ReserveArgs, "viewNumber"> & { budget: number },
    deadlineMs: number,
  ): Promise<Reservation> {
    const { budget, ...rest } = args;
    return await this.#repeat<Reservation>(
      deadlineMs,
      { verdict: "unknown", hints: [] },
      (view) => this.#reserveOnce(view, rest, budget),
      (it) => it.verdict,
    );
  }

  /**
   * Reads the spending only after the reservation is kept: of several turns at
   * the same time the last one to read then sees all the others.
   */
  async #reserveOnce(
    view: View,
    args: Omit<ReserveArgs, "viewNumber">,
    budget: number,
  ): Promise<Reservation> {
    const { program, turn, tokens } = args;
    const viewNumber = view.number;
    const kept = await this.#askAll(view, program, "reserve", {
      ...args,
      viewNumber,
    });
    const replies = kept.length < neededReplies(view, program)
      ? []
      : await this.#askAll(view, program, "spending", { viewNumber, program });
    const verdict = decideBudget({
      view,
      program,
      turn,
      reserve: tokens,
      budget,
      replies,
    });
    return { verdict, hints: replies.flatMap((it) => it.hints) };
  }

  /** Tells the replicas what a turn handed out; a lost notice costs budget. */
  settle(notice: SettleNotice): void {
    if (!this.#view) return;
    for (const member of replicasOf(this.#view, notice.program)) {
      if (!this.forwardSettle(member.id, notice)) {
        this.#opts.relaySettle?.(member.id, notice);
      }
    }
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

  /** Looks a turn up, nearest replica first. */
  async find(id: string, deadlineMs: number): Promise<LookupVerdict> {
    return await this.#repeat<LookupVerdict>(
      deadlineMs,
      { kind: "unknown" },
      (view) => this.#findOnce(view, id),
      (it) => it.kind,
    );
  }

  async #findOnce(view: View, id: string): Promise<LookupVerdict> {
    const decide = (replies: Served<"find">[]) =>
      decideLookup(view, id, replies.map((it) => ({ ...it, found: it.turn })));
    const replies = await this.#askSome({
      view,
      key: id,
      name: "find",
      args: { viewNumber: view.number, id },
      atOnce: 1,
      isEnough: (it) => decide(it).kind !== "unknown",
    });
    return decide(replies);
  }

  /**
   * Keeps a turn. Resolves true once a quorum has it on disk, false when that
   * did not happen in time.
   */
  async put(
    turn: NewTurn,
    opts: { keepMs: number; deadlineMs: number },
  ): Promise<boolean> {
    const verdict = await this.#repeat<"kept" | "unknown">(
      opts.deadlineMs,
      "unknown",
      async (view) => {
        const quorum = quorumOf(view);
        const replies = await this.#askSome({
          view,
          key: turn.id,
          name: "put",
          args: { viewNumber: view.number, turn, keepMs: opts.keepMs },
          atOnce: quorum,
          isEnough: (it) => it.length >= quorum,
        });
        return replies.length >= quorum ? "kept" : "unknown";
      },
    );
    return verdict === "kept";
  }

  close(): void {
    for (const link of this.#links.values()) link.close();
  }

  /** Tries until the outcome is known or the deadline (steady ms) passes. */
  async #repeat<T>(
    deadlineMs: number,
    unknown: T,
    attempt: (view: View) => Promise<T>,
    nameOf: (result: T) => string = String,
  ): Promise<T> {
    const { timer } = this.#opts;
    while (true) {
      const view = this.#view;
      const result = view ? await attempt(view) : unknown;
      if (nameOf(result) !== "unknown") return result;
      const hasMoved = this.#view !== view;
      const isUsable = this.isUsable || this.#opts.canRelay?.();
      if (!hasMoved && !isUsable) return unknown;
      if (timer.steady() + RETRY_MS >= deadlineMs) return unknown;
      if (!hasMoved) await this.#pause();
    }
  }

  #pause(): Promise<void> {
    return new Promise((resolve) => {
      this.#opts.timer.after(RETRY_MS, resolve);
    });
  }

  /** Asks all replicas of a key; resolves at a quorum or when all have spoken. */
  #askAll<K extends RecordMethod>(
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
  #askSome<K extends RecordMethod>(
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
    this.takeView(refusal.view);
    this.#opts.onView(refusal.view);
  }

  #nearestFirst(replicas: ReplicaHost[]): ReplicaHost[] {
    const isNear = (it: ReplicaHost) =>
      it.dataCentre === this.#opts.dataCentre ? 0 : 1;
    return [...replicas].sort((a, b) => isNear(a) - isNear(b));
  }

  #dial(member: ReplicaHost): void {
    const { self, timer, log } = this.#opts;
    const link: StoreLink = new LinkClient({
      self,
      address: member.address,
      timer,
      log,
      onOpen: () => log.info(`turn store ${member.host} answers`),
      onLost: () => log.warn(`turn store ${member.host} is lost`),
    });
    this.#links.set(member.id, link);
  }
}

/** Replies that make a quorum and meet every other quorum. */
function neededReplies(view: View, key: string): number {
  const majority = Math.floor(replicasOf(view, key).length / 2) + 1;
  return Math.max(quorumOf(view), majority);
}
