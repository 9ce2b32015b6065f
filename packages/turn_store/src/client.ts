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
  type Spending,
  type TurnRecord,
  type View,
} from "@toucantrestle/turn_log";
import type {
  NewTurn,
  Refusal,
  Reply,
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
}

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
      async (view) => {
        const replies = await this.#askAll(
          view,
          args.program,
          (link) =>
            link.request(
              "reserve",
              { ...rest, viewNumber: view.number },
              REPLY_TIMEOUT_MS,
            ),
        );
        const verdict = decideBudget({
          view,
          program: args.program,
          turn: args.turn,
          reserve: args.tokens,
          budget,
          replies: replies.map((it): Spending => it.spending),
        });
        return { verdict, hints: replies.flatMap((it) => it.hints) };
      },
      (it) => it.verdict,
    );
  }

  /** Tells the replicas what a turn handed out; a lost notice costs budget. */
  settle(notice: SettleNotice): void {
    if (!this.#view) return;
    for (const member of replicasOf(this.#view, notice.program)) {
      this.#links.get(member.id)?.notify("settle", notice);
    }
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
        const args = { viewNumber: view.number, turn, keepMs: opts.keepMs };
        const replies = await this.#askAll(
          view,
          turn.id,
          (link) => link.request("put", args, REPLY_TIMEOUT_MS),
        );
        return replies.length >= quorumOf(view) ? "kept" : "unknown";
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
      if (!hasMoved && !this.isUsable) return unknown;
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
  #askAll<T extends object>(
    view: View,
    key: string,
    ask: (link: StoreLink) => Promise<Reply<T>>,
  ): Promise<T[]> {
    const replicas = replicasOf(view, key);
    const needed = Math.max(
      quorumOf(view),
      Math.floor(replicas.length / 2) + 1,
    );
    return new Promise((resolve) => {
      const replies: T[] = [];
      let open = replicas.length;
      const settle = (reply: T | undefined) => {
        open -= 1;
        if (reply) replies.push(reply);
        if (replies.length >= needed || open === 0) resolve(replies);
      };
      for (const member of replicas) {
        this.#ask(view, member, ask).then(settle);
      }
    });
  }

  /** Asks one replica; undefined where it did not serve the request. */
  async #ask<T extends object>(
    view: View,
    member: ReplicaHost,
    ask: (link: StoreLink) => Promise<Reply<T>>,
  ): Promise<T | undefined> {
    const link = this.#links.get(member.id);
    if (!link) return undefined;
    try {
      const reply = await ask(link);
      if (reply.status === "ok") return reply as T;
      this.#handleRefusal(view, link, reply as Refusal);
    } catch (err) {
      this.#opts.log.debug(`turn store ${member.host}: ${String(err)}`);
    }
    return undefined;
  }

  #handleRefusal(view: View, link: StoreLink, refusal: Refusal): void {
    if (refusal.status === "behind") link.notify("view", view);
    if (refusal.status !== "moved") return;
    this.takeView(refusal.view);
    this.#opts.onView(refusal.view);
  }

  /** Asks one replica after the other, without waiting long for any. */
  #findOnce(view: View, id: string): Promise<LookupVerdict> {
    const replicas = this.#nearestFirst(replicasOf(view, id));
    const replies: { found: TurnRecord | undefined }[] = [];
    return new Promise((resolve) => {
      let next = 0;
      let open = 0;
      const askNext = () => {
        const member = replicas[next];
        if (!member) return;
        next += 1;
        open += 1;
        const hedge = this.#opts.timer.after(HEDGE_MS, askNext);
        this.#ask(view, member, (link) =>
          link.request(
            "find",
            { viewNumber: view.number, id },
            REPLY_TIMEOUT_MS,
          )).then((reply) => {
            hedge.cancel();
            open -= 1;
            if (reply) replies.push({ found: reply.turn });
            const verdict = decideLookup(view, id, replies);
            if (verdict.kind !== "unknown") return resolve(verdict);
            if (open === 0 && next >= replicas.length) return resolve(verdict);
            askNext();
          });
      };
      askNext();
    });
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
