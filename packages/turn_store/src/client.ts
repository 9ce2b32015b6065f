import { sleep, type Timer } from "@toucantrestle/timer";
import {
  type BudgetVerdict,
  decideBudget,
  decideLookup,
  type LookupVerdict,
  type PromptHint,
  quorumOf,
  replicasOf,
  type View,
} from "@toucantrestle/turn_log";
import type { NewTurn, ReserveArgs, SettleNotice } from "./messages.ts";
import { mayWait } from "./patience.ts";
import {
  neededReplies,
  ReplicaLinks,
  type ReplicaLinksOptions,
  type Served,
} from "./replica_links.ts";

/** Settings of the client. */
export interface TurnStoreClientOptions extends ReplicaLinksOptions {
  timer: Timer;
  relaySettle?: (memberId: string, notice: SettleNotice) => void;
  /** Whether some sibling reaches the replicas. */
  canRelay?: () => boolean;
}

/** Outcome of a reservation. */
export interface Reservation {
  verdict: BudgetVerdict;
  /** Where the program's prompts were read before. */
  hints: PromptHint[];
}

/** Pause before a refused or unanswered request is tried again. */
const RETRY_MS = 30;

/** How a request is repeated until its outcome is known. */
interface Repeat<T> {
  /** When its caller must have its answer, in ms on the steady clock. */
  deadlineMs: number;
  /** True for an answer that is ready and only has to be kept. */
  isReady?: boolean;
  unknown: T;
  attempt: (view: View) => Promise<T>;
  /** The outcome, "unknown" where it must be tried again. */
  outcomeOf: (result: T) => string;
}

/** Reads and writes turn records on the replicas of the current view. */
export class TurnStoreClient {
  readonly #opts: TurnStoreClientOptions;
  readonly #links: ReplicaLinks;
  #view: View | undefined;
  /** Since when too few replicas answer; undefined while enough do. */
  #awaySince: number | undefined;

  constructor(opts: TurnStoreClientOptions) {
    this.#opts = opts;
    this.#awaySince = opts.timer.steady();
    this.#links = new ReplicaLinks({
      ...opts,
      onView: (view) => {
        this.takeView(view);
        opts.onView(view);
      },
      onChange: () => this.#noteReach(),
    });
  }

  get view(): View | undefined {
    return this.#view;
  }

  /** Moves to a newer view and dials its members. */
  takeView(view: View): void {
    if (this.#view && view.number <= this.#view.number) return;
    this.#view = view;
    this.#links.connect(view);
    this.#noteReach();
  }

  /** True while enough members answer for every record to be kept. */
  get isUsable(): boolean {
    const view = this.#view;
    return view !== undefined && this.#links.openCount >= quorumOf(view);
  }

  /** Links to the replicas, for what siblings pass on. */
  get links(): ReplicaLinks {
    return this.#links;
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
    return await this.#repeat<Reservation>({
      deadlineMs,
      unknown: { verdict: "unknown", hints: [] },
      attempt: (view) => this.#reserveOnce(view, rest, budget),
      outcomeOf: (it) => it.verdict,
    });
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
    const kept = await this.#links.askAll(view, program, "reserve", {
      ...args,
      viewNumber,
    });
    const replies = kept.length < neededReplies(view, program)
      ? []
      : await this.#links.askAll(view, program, "spending", {
        viewNumber,
        program,
      });
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
      if (!this.#links.forwardSettle(member.id, notice)) {
        this.#opts.relaySettle?.(member.id, notice);
      }
    }
  }

  /** Looks a turn up, nearest replica first. */
  async find(id: string, deadlineMs: number): Promise<LookupVerdict> {
    return await this.#repeat<LookupVerdict>({
      deadlineMs,
      unknown: { kind: "unknown" },
      attempt: (view) => this.#findOnce(view, id),
      outcomeOf: (it) => it.kind,
    });
  }

  async #findOnce(view: View, id: string): Promise<LookupVerdict> {
    const decide = (replies: Served<"find">[]) =>
      decideLookup(view, id, replies.map((it) => ({ ...it, found: it.turn })));
    const replies = await this.#links.askSome({
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
    const verdict = await this.#repeat<"kept" | "unknown">({
      deadlineMs: opts.deadlineMs,
      isReady: true,
      unknown: "unknown",
      outcomeOf: (it) => it,
      attempt: async (view) => {
        const quorum = quorumOf(view);
        const replies = await this.#links.askSome({
          view,
          key: turn.id,
          name: "put",
          args: { viewNumber: view.number, turn, keepMs: opts.keepMs },
          atOnce: quorum,
          isEnough: (it) => it.length >= quorum,
        });
        return replies.length >= quorum ? "kept" : "unknown";
      },
    });
    return verdict === "kept";
  }

  close(): void {
    this.#links.close();
  }

  /** Tries until the outcome is known or waiting is of no use. */
  async #repeat<T>(repeat: Repeat<T>): Promise<T> {
    const { timer } = this.#opts;
    const startedAt = timer.steady();
    while (true) {
      const view = this.#view;
      const result = view ? await repeat.attempt(view) : repeat.unknown;
      if (repeat.outcomeOf(result) !== "unknown") return result;
      const now = timer.steady();
      const goesOn = mayWait({
        waitedMs: now - startedAt,
        timeLeftMs: repeat.deadlineMs - now,
        isReachable: this.isUsable || this.#opts.canRelay?.() === true,
        awayForMs: now - (this.#awaySince ?? now),
        isReady: repeat.isReady ?? false,
      });
      if (!goesOn) return repeat.unknown;
      const hasMoved = this.#view !== view;
      if (!hasMoved) await sleep(timer, RETRY_MS);
    }
  }

  #noteReach(): void {
    if (this.isUsable) this.#awaySince = undefined;
    else this.#awaySince ??= this.#opts.timer.steady();
  }
}
