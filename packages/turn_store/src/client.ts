import { sleep, type Timer } from "@toucantrestle/timer";
import {
  type BudgetVerdict,
  commonOrigin,
  decideBudget,
  decideLookup,
  intersectsAllQuorums,
  laterOrigin,
  type LookupVerdict,
  mergeSpending,
  type PromptHint,
  quorumSize,
  type Spending,
  type StreamOrigin,
  type View,
} from "@toucantrestle/turn_log";
import type {
  NewTurn,
  ReserveArgs,
  ResumedStream,
  SettleNotice,
} from "./messages.ts";
import { shouldKeepWaiting } from "./wait_policy.ts";
import {
  ReplicaLinks,
  type ReplicaLinksOptions,
  requiredReplies,
  type ServedReply,
} from "./replica_links.ts";

/** Options of the client. */
export interface TurnStoreClientOptions extends ReplicaLinksOptions {
  timer: Timer;
  /** Returns whether a sibling can forward requests to the replicas. */
  canRelay?: () => boolean;
}

/** Result of a reservation. */
export interface Reservation {
  verdict: BudgetVerdict;
  /** Where earlier prompts of the program were processed. */
  hints: PromptHint[];
  /** Where the resumed stream began; undefined if it is not known. */
  resumedOrigin: StreamOrigin | undefined;
}

/** Arguments of a reservation. */
export interface ReservationArgs extends Omit<ReserveArgs, "viewNumber"> {
  /** Tokens that all turns of the program may spend. */
  budget: number;
  /** Stream that this turn resumes. */
  resumed: ResumedStream | undefined;
}

/** Delay before a refused or unanswered request is retried. */
const RETRY_DELAY_MS = 30;

/** Options for retrying a request until its outcome is known. */
interface RetryOptions<T> {
  /** Deadline of the request, in ms on the monotonic clock. */
  deadlineMs: number;
  /** True if the response is complete and only has to be persisted. */
  isResponseReady?: boolean;
  /** Result to return if the outcome stays unknown. */
  unknownResult: T;
  /** Makes one attempt in the given view. */
  attempt: (view: View) => Promise<T>;
  /** Returns the outcome of an attempt; "unknown" means to retry. */
  outcomeOf: (result: T) => string;
}

/** Client that reads and writes records on the replicas of the current view. */
export class TurnStoreClient {
  readonly #opts: TurnStoreClientOptions;
  readonly #links: ReplicaLinks;
  #view: View | undefined;
  /** When a quorum became unreachable; undefined while it is reachable. */
  #unreachableSince: number | undefined;

  constructor(opts: TurnStoreClientOptions) {
    this.#opts = opts;
    this.#unreachableSince = opts.timer.monotonicNow();
    this.#links = new ReplicaLinks({
      ...opts,
      onView: (view) => {
        this.adoptView(view);
        opts.onView(view);
      },
      onReachabilityChange: () => this.#updateReachability(),
    });
  }

  /** View that requests are sent in; undefined before the first. */
  get view(): View | undefined {
    return this.#view;
  }

  /** Adopts a newer view and dials its members; ignores an older one. */
  adoptView(view: View): void {
    if (this.#view && view.number <= this.#view.number) return;
    this.#view = view;
    this.#links.connect(view);
    this.#updateReachability();
  }

  /** True while links to a write quorum of members are open. */
  get isQuorumReachable(): boolean {
    const view = this.#view;
    return view !== undefined && this.#links.openLinkCount >= quorumSize(view);
  }

  /** Links to the replicas, for requests that siblings forward. */
  get links(): ReplicaLinks {
    return this.#links;
  }

  /**
   * Reserves tokens of a program's budget for a turn. Resolves once enough
   * replicas have persisted the reservation and reported the spending, or when
   * further waiting is pointless.
   */
  async reserve(
    args: ReservationArgs,
    deadlineMs: number,
  ): Promise<Reservation> {
    return await this.#retryUntilKnown<Reservation>({
      deadlineMs,
      unknownResult: {
        verdict: "unknown",
        hints: [],
        resumedOrigin: undefined,
      },
      attempt: (view) => this.#reserveOnce(view, args),
      outcomeOf: (it) => it.verdict,
    });
  }

  /**
   * Reserves first and reads the spending after the reservation is persisted:
   * the last of several concurrent turns to read then sees all reservations.
   */
  async #reserveOnce(
    view: View,
    { budget, resumed, ...args }: ReservationArgs,
  ): Promise<Reservation> {
    const { program, turn, tokens } = args;
    const viewNumber = view.number;
    const required = requiredReplies(view, program);
    const reservations = await this.#links.requestHedged({
      view,
      key: program,
      name: "reserve",
      args: { ...args, viewNumber },
      concurrency: required,
      isEnough: (it) => it.length >= required,
    });
    const isReserved = reservations.length >= required;
    const replies = !isReserved ? [] : await this.#links.requestHedged({
      view,
      key: program,
      name: "spending",
      args: { viewNumber, program, resumed, keepMs: args.keepMs },
      concurrency: required,
      isEnough: (it) =>
        it.length >= required && intersectsAllQuorums(view, program, it),
    });
    const verdict = decideBudget({
      view,
      program,
      turn,
      reserve: tokens,
      budget,
      replies,
    });
    const isRetained = verdict === "unknown" || await this.#retain(view, {
      ...args,
      replies,
      holders: reservations.map((it) => it.member),
    });
    return {
      verdict: isRetained ? verdict : "unknown",
      hints: replies.flatMap((it) => it.hints),
      resumedOrigin: decideOrigin(
        replies.flatMap((it) => it.origins),
        resumed,
      ),
    };
  }

  /**
   * Makes sure that the replicas that keep the program for the sake of a new
   * reservation also have its ageing spending: the replicas that this was
   * written to may otherwise drop it earlier. Returns false if too few confirm.
   */
  async #retain(
    view: View,
    { program, keepMs, replies, holders }: {
      program: string;
      keepMs: number;
      replies: ServedReply<"spending">[];
      /** Replicas that have persisted the reservation. */
      holders: string[];
    },
  ): Promise<boolean> {
    const ageing = ageingSpending(replies);
    if (Object.keys(ageing).length === 0) return true;
    const results = await Promise.all(holders.map(async (member) => {
      const known = replies.find((it) => it.member === member)?.spending ?? {};
      const spending = without(ageing, known);
      if (Object.keys(spending).length === 0) return true;
      const reply = await this.#links.requestFrom(view, member, {
        name: "retain",
        args: { viewNumber: view.number, program, spending, keepMs },
      });
      return reply !== undefined;
    }));
    const confirmed = results.filter((it) => it).length;
    return confirmed >= requiredReplies(view, program);
  }

  /**
   * Notifies the replicas how many tokens a turn spent. Delivery is
   * best-effort: if the notice is lost, the entire reservation counts against
   * the budget.
   */
  settle(notice: SettleNotice): void {
    if (this.#view) this.#links.settle(this.#view, notice);
  }

  /** Looks up a turn, asking replicas of the own data centre first. */
  async find(id: string, deadlineMs: number): Promise<LookupVerdict> {
    return await this.#retryUntilKnown<LookupVerdict>({
      deadlineMs,
      unknownResult: { kind: "unknown" },
      attempt: (view) => this.#findOnce(view, id),
      outcomeOf: (it) => it.kind,
    });
  }

  async #findOnce(view: View, id: string): Promise<LookupVerdict> {
    const decide = (replies: ServedReply<"find">[]) =>
      decideLookup(view, id, replies.map((it) => ({ ...it, found: it.turn })));
    const replies = await this.#links.requestHedged({
      view,
      key: id,
      name: "find",
      args: { viewNumber: view.number, id },
      concurrency: 1,
      isEnough: (it) => decide(it).kind !== "unknown",
    });
    return decide(replies);
  }

  /**
   * Persists a turn. Resolves to true once a quorum has it on disk, or to false
   * if that did not happen in time.
   */
  async put(
    turn: NewTurn,
    opts: { keepMs: number; deadlineMs: number },
  ): Promise<boolean> {
    const verdict = await this.#retryUntilKnown<"kept" | "unknown">({
      deadlineMs: opts.deadlineMs,
      isResponseReady: true,
      unknownResult: "unknown",
      outcomeOf: (it) => it,
      attempt: async (view) => {
        const quorum = quorumSize(view);
        const replies = await this.#links.requestHedged({
          view,
          key: turn.id,
          name: "put",
          args: { viewNumber: view.number, turn, keepMs: opts.keepMs },
          concurrency: quorum,
          isEnough: (it) => it.length >= quorum,
        });
        return replies.length >= quorum ? "kept" : "unknown";
      },
    });
    return verdict === "kept";
  }

  /** Closes all links to replicas. */
  close(): void {
    this.#links.close();
  }

  /** Retries until the outcome is known or further waiting is pointless. */
  async #retryUntilKnown<T>(opts: RetryOptions<T>): Promise<T> {
    const { timer } = this.#opts;
    const startedAt = timer.monotonicNow();
    while (true) {
      const view = this.#view;
      const result = view ? await opts.attempt(view) : opts.unknownResult;
      if (opts.outcomeOf(result) !== "unknown") return result;
      const now = timer.monotonicNow();
      const shouldRetry = shouldKeepWaiting({
        waitedMs: now - startedAt,
        timeLeftMs: opts.deadlineMs - now,
        isReachable: this.isQuorumReachable || this.#opts.canRelay?.() === true,
        unreachableMs: now - (this.#unreachableSince ?? now),
        isResponseReady: opts.isResponseReady ?? false,
      });
      if (!shouldRetry) return opts.unknownResult;
      const hasViewChanged = this.#view !== view;
      if (!hasViewChanged) await sleep(timer, RETRY_DELAY_MS);
    }
  }

  #updateReachability(): void {
    if (this.isQuorumReachable) this.#unreachableSince = undefined;
    else this.#unreachableSince ??= this.#opts.timer.monotonicNow();
  }
}

/** Returns the spending that at least one replica reports as ageing. */
function ageingSpending(replies: ServedReply<"spending">[]): Spending {
  const turns = new Set(replies.flatMap((it) => it.ageing ?? []));
  const merged = mergeSpending(replies.map((it) => it.spending));
  return Object.fromEntries(
    Object.entries(merged).filter(([turn]) => turns.has(turn)),
  );
}

/** Returns the spending of the turns that are not among those known. */
function without(spending: Spending, known: Spending): Spending {
  return Object.fromEntries(
    Object.entries(spending).filter(([turn]) => !(turn in known)),
  );
}

/**
 * Decides where a resumed stream began. One that is not named is one of the
 * program's, so it is known if all of these have the same software.
 */
function decideOrigin(
  origins: StreamOrigin[],
  resumed: ResumedStream | undefined,
): StreamOrigin | undefined {
  if (resumed?.turn === undefined) return commonOrigin(origins);
  return origins.reduce<StreamOrigin | undefined>(laterOrigin, undefined);
}
