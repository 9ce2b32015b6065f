import { Listeners, type Logger } from "@toucantrestle/log";
import type { Metrics } from "@toucantrestle/metrics";
import {
  type Admission,
  type Clocks,
  type Decision,
  GROUP_COUNT,
  groupOf,
  LeaseHolder,
  type LimitedOrganisation,
  type Quota,
  QuotaAllocator,
  type QuotaBounds,
  type QuotaQuery,
  type QuotaReply,
  type RequestKind,
  Reserve,
} from "@toucantrestle/quota";
import type { Subscription, Timer } from "@toucantrestle/timer";
import type { FleetShare } from "./fleet_share.ts";
import { QuotaAllocators } from "./quota_allocators.ts";

/** Links to the siblings that `QuotaClient` needs. */
export interface QuotaLinks {
  queryQuota(
    host: string,
    query: QuotaQuery,
    timeoutMs: number,
  ): Promise<QuotaReply>;
  /** Opens a link to a sibling that will soon be queried. */
  dialAhead(host: string): void;
}

/** A decision for which no allocator needs to be asked any more. */
export type SettledDecision = Exclude<Decision, { kind: "ask" }>;

/** Options of `QuotaClient`. */
export interface QuotaClientOptions {
  self: string;
  /** Identifies this process, over restarts of the host. */
  processId: string;
  bounds: QuotaBounds;
  /** Whether the entire deployment starts for the first time. */
  isFirstStart: boolean;
  /**
   * Returns the names of the connected fronts that may be allocators, this one
   * included if it may be.
   */
  candidates: () => string[];
  share: Pick<FleetShare, "connected" | "own">;
  links: QuotaLinks;
  /** Returns a number from 0 to 1. */
  random: () => number;
  timer: Timer;
  metrics: Metrics;
  log: Logger;
}

/** Queries about the organisations of one group. */
interface GroupState {
  inFlight: Promise<boolean> | undefined;
  sentAt: number;
  renewal: Subscription | undefined;
  isAnswered: boolean;
  /** Requests that wait for tokens. */
  listeners: Listeners;
}

/** A request waits for an answer for this long before it uses the reserve. */
const ANSWER_WAIT_MS = 25;
/** A late answer still counts until the query is given up. */
const QUERY_TIMEOUT_MS = 250;
/** Leases are renewed well before they expire. */
const RENEW_MS = 1_400;
/** A lease that runs low is renewed earlier, at most once in this time. */
const RENEW_EARLY_MS = 450;
/**
 * Longest time that a request waits while no allocator answers or a new one has
 * no tokens yet. The next one is chosen within a fraction of it.
 */
const MAX_WAIT_MS = 1_500;
const RETRY_INTERVAL_MS = 80;
/** A request that has waited in vain may come again after this time. */
const RETRY_AFTER_MS = 400;
/** Bounds the memory for waiting requests; others are denied at once. */
const MAX_WAITING = 1_000;

/**
 * Admits the requests of organisations with a quota. Tokens are leased from the
 * allocator of the organisation, a front chosen from all connected ones.
 */
export class QuotaClient {
  readonly #opts: QuotaClientOptions;
  readonly #holder: LeaseHolder;
  readonly #allocator: QuotaAllocator;
  readonly #allocators: QuotaAllocators;
  readonly #reserve: Reserve;
  readonly #groups: GroupState[];
  #waitingCount = 0;

  constructor(opts: QuotaClientOptions) {
    this.#opts = opts;
    const { bounds, isFirstStart, processId, random } = opts;
    this.#holder = new LeaseHolder({ bounds, self: processId, random });
    this.#allocator = new QuotaAllocator({
      bounds,
      isFirstStart,
      self: processId,
    });
    this.#reserve = new Reserve({ bounds, self: opts.self });
    this.#allocators = new QuotaAllocators({
      ...opts,
      allocator: this.#allocator,
    });
    this.#groups = Array.from({ length: GROUP_COUNT }, () => ({
      inFlight: undefined,
      sentAt: -Infinity,
      renewal: undefined,
      isAnswered: true,
      listeners: new Listeners("answers to a quota query", opts.log),
    }));
  }

  /** Applies the quotas in force, by organisation. */
  setQuotas(quotas: ReadonlyMap<string, Quota>): void {
    this.#allocator.setQuotas(quotas, this.#allocators.allocationTime());
    this.#holder.setQuotas(quotas);
    if (quotas.size > 0) this.#allocators.start();
    else this.#allocators.stop();
  }

  /** Decides whether a request may run; asks the allocator if necessary. */
  admit(
    organisation: LimitedOrganisation,
    kind: RequestKind,
  ): SettledDecision | Promise<SettledDecision> {
    const clocks = this.#clocks;
    const decision = this.#holder.decide(organisation, { kind, clocks });
    if (decision.kind === "ask") return this.#ask(organisation, kind);
    if (decision.kind === "admitted") this.#renewEarly(organisation);
    return decision;
  }

  /**
   * Uses the token of an admitted request, immediately before it is sent.
   * Returns false if the token has expired.
   */
  use(admission: Admission): boolean {
    return this.#holder.use(admission, this.#clocks);
  }

  /** Gives back the token of a request that is not sent. */
  release(admission: Admission): void {
    this.#holder.release(admission);
  }

  /** Answers a sibling that takes this front for the allocator of a group. */
  answer(query: QuotaQuery): QuotaReply {
    this.#allocators.refresh();
    return this.#allocator.answer(query, this.#allocators.allocationTime());
  }

  /** Counts a refused request. */
  recordRefusal(): void {
    this.#opts.metrics.count("quota_refused");
  }

  /** Part of the fleet for which this front may grant tokens, from 0 to 1. */
  get fleetFraction(): number {
    return this.#allocators.fleetFraction;
  }

  /** Number of tokens held, and of organisations that they are of. */
  get held(): { tokens: number; organisations: number } {
    return this.#holder.totals;
  }

  async #ask(
    organisation: LimitedOrganisation,
    kind: RequestKind,
  ): Promise<SettledDecision> {
    if (this.#waitingCount >= MAX_WAITING) return this.#denied();
    this.#waitingCount += 1;
    this.#holder.addWaiting(organisation, { kind, count: 1 });
    try {
      return await this.#awaitDecision(organisation, kind);
    } finally {
      this.#holder.addWaiting(organisation, { kind, count: -1 });
      this.#waitingCount -= 1;
    }
  }

  async #awaitDecision(
    organisation: LimitedOrganisation,
    kind: RequestKind,
  ): Promise<SettledDecision> {
    const { timer } = this.#opts;
    const giveUpAt =
      Math.max(timer.monotonicNow(), this.#allocators.settledAt) +
      MAX_WAIT_MS;
    const group = groupOf(organisation.name);
    // An answer to an earlier query does not concern this request.
    if (this.#groups[group]?.inFlight) await this.#awaitAnswer(group);
    for (;;) {
      const isAnswered = await this.#awaitAnswer(group);
      const settled = this.#settle(organisation, kind) ??
        (isAnswered ? undefined : this.#takeReserve(organisation));
      if (settled) return settled;
      if (timer.monotonicNow() >= giveUpAt) return this.#denied();
      const later = await this.#pause(
        group,
        () => this.#settle(organisation, kind),
      );
      if (later) return later;
    }
  }

  /** Decides with the tokens held; undefined if they do not suffice yet. */
  #settle(
    organisation: LimitedOrganisation,
    kind: RequestKind,
  ): SettledDecision | undefined {
    const clocks = this.#clocks;
    const decision = this.#holder.decide(organisation, {
      kind,
      clocks,
      hasWaited: true,
    });
    return decision.kind === "ask" ? undefined : decision;
  }

  /** Waits until it is time to ask again, or an answer settles the request. */
  #pause(
    group: number,
    settle: () => SettledDecision | undefined,
  ): Promise<SettledDecision | undefined> {
    const listeners = this.#groups[group]?.listeners;
    return new Promise((resolve) => {
      const end = (decision?: SettledDecision) => {
        removeListener?.();
        timeout.cancel();
        resolve(decision);
      };
      const onAnswer = () => {
        const decision = settle();
        if (decision) end(decision);
      };
      const timeout = this.#opts.timer.after(RETRY_INTERVAL_MS, () => end());
      const removeListener = listeners?.add(onAnswer);
    });
  }

  /** Waits for the answer to a query; false if there is none in time. */
  #awaitAnswer(group: number): Promise<boolean> {
    const { timer } = this.#opts;
    return new Promise((resolve) => {
      const timeout = timer.after(ANSWER_WAIT_MS, () => resolve(false));
      this.#exchange(group).then((isAnswered) => {
        timeout.cancel();
        resolve(isAnswered);
      });
    });
  }

  /** Queries the allocator of a group, or waits for the query in progress. */
  #exchange(group: number): Promise<boolean> {
    const state = this.#groups[group];
    if (!state) return Promise.resolve(false);
    if (state.inFlight) return state.inFlight;
    const exchange = this.#query(group, state);
    state.inFlight = exchange;
    exchange.then(() => state.inFlight = undefined);
    return exchange;
  }

  /** Returns false if no allocator answers, or the query fails otherwise. */
  async #query(group: number, state: GroupState): Promise<boolean> {
    try {
      return await this.#queryAllocator(group, state);
    } catch (err) {
      this.#opts.log.error(`cannot query for quota: ${String(err)}`);
      return false;
    }
  }

  async #queryAllocator(group: number, state: GroupState): Promise<boolean> {
    const { links, self, timer } = this.#opts;
    this.#allocators.refresh();
    const allocator = this.#allocators.of(group);
    if (allocator === undefined) return false;
    const query = this.#holder.createQuery(group, this.#clocks);
    if (!query) return true;
    state.sentAt = timer.monotonicNow();
    state.renewal?.cancel();
    state.renewal = timer.afterAbout(RENEW_MS, () => this.#exchange(group));
    try {
      const reply = allocator === self
        ? this.answer(query)
        : await links.queryQuota(allocator, query, QUERY_TIMEOUT_MS);
      if (allocator !== self) this.#opts.metrics.count("quota_queries");
      if (!reply.isAllocator) throw new Error("it is not the allocator");
      this.#holder.accept(query, reply, this.#clocks);
      for (const { name } of reply.grants) this.#reserve.reset(name);
      state.isAnswered = true;
      state.listeners.notify();
      return true;
    } catch (err) {
      this.#reportUnanswered(state, { allocator, err });
      return false;
    }
  }

  #reportUnanswered(
    state: GroupState,
    { allocator, err }: { allocator: string; err: unknown },
  ): void {
    const { log, metrics } = this.#opts;
    metrics.count("quota_unanswered");
    const message = `no quota lease from front ${allocator}: ${String(err)}`;
    if (state.isAnswered) log.warn(message, { event: "no_lease", allocator });
    else log.debug(message);
    state.isAnswered = false;
  }

  #renewEarly({ name, quota }: LimitedOrganisation): void {
    const now = this.#opts.timer.monotonicNow();
    const group = groupOf(name);
    const state = this.#groups[group];
    if (!state || state.inFlight || now - state.sentAt < RENEW_EARLY_MS) return;
    if (this.#holder.isRunningOut({ name, quota }, now)) this.#exchange(group);
  }

  #takeReserve(
    organisation: LimitedOrganisation,
  ): SettledDecision | undefined {
    const { metrics, share } = this.#opts;
    const clocks = this.#clocks;
    const now = clocks.monotonic;
    if (now < this.#allocators.settledAt) return undefined;
    if (!this.#reserve.take(organisation, { own: share.own, now })) {
      return undefined;
    }
    metrics.count("quota_reserve_used");
    const admission = this.#holder.admitOnReserve(organisation, clocks);
    return { kind: "admitted", admission };
  }

  /** Denies a request that no allocator has answered for. */
  #denied(): SettledDecision {
    const waitMs = RETRY_AFTER_MS * (1 + this.#opts.random());
    return { kind: "denied", waitMs };
  }

  get #clocks(): Clocks {
    const { timer } = this.#opts;
    return { monotonic: timer.monotonicNow(), wall: timer.now() };
  }
}
