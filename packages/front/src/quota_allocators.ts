import {
  type AllocationTime,
  allocatorOf,
  type Clocks,
  GROUP_COUNT,
  type QuotaAllocator,
  SteadyFraction,
} from "@toucantrestle/quota";
import type { Subscription, Timer } from "@toucantrestle/timer";
import type { FleetShare } from "./fleet_share.ts";
import { hasSameMembers } from "./same_members.ts";

/** Options of `QuotaAllocators`. */
export interface QuotaAllocatorsOptions {
  self: string;
  /**
   * Returns the names of the connected fronts that may be allocators, this one
   * included if it may be.
   */
  candidates: () => string[];
  share: Pick<FleetShare, "connected">;
  links: { dialAhead(host: string): void };
  /** Grants tokens of the groups whose allocator this front is. */
  allocator: QuotaAllocator;
  timer: Timer;
}

/**
 * A front that has just started does not know its siblings. It does not take
 * itself for an allocator, nor for the whole fleet, for this long, or for the
 * other time after it has learnt of a sibling.
 */
const START_MS = 1_500;
const START_WITH_SIBLINGS_MS = 400;
const REFRESH_INTERVAL_MS = 250;
/**
 * A process that did not refresh for this long was suspended. Others may have
 * granted the tokens in its buckets.
 */
const SUSPENDED_MS = 1_500;

/** Chooses the allocator of each group of organisations. */
export class QuotaAllocators {
  readonly #opts: QuotaAllocatorsOptions;
  readonly #fraction = new SteadyFraction();
  #settledAt: number;
  #candidates: string[] = [];
  #allocators: string[] = [];
  #isSettled = false;
  #refreshedAt: Clocks;
  #refreshTimer: Subscription | undefined;

  constructor(opts: QuotaAllocatorsOptions) {
    this.#opts = opts;
    this.#refreshedAt = this.#clocks;
    this.#settledAt = this.#refreshedAt.monotonic + START_MS;
  }

  /** When this front knows its siblings, in ms on the monotonic clock. */
  get settledAt(): number {
    return this.#settledAt;
  }

  /**
   * Part of the fleet for which this front may grant tokens as an allocator; 0
   * until it knows its siblings.
   */
  get fleetFraction(): number {
    return this.#isSettled ? this.allocationTime().fraction : 0;
  }

  /**
   * Keeps the choice up to date. The buckets of a new allocator are refilled
   * from its begin, even if their organisations are idle.
   */
  start(): void {
    if (this.#refreshTimer) return;
    this.#refreshedAt = this.#clocks;
    this.#refreshTimer = this.#opts.timer.every(
      REFRESH_INTERVAL_MS,
      () => this.refresh(),
    );
  }

  stop(): void {
    this.#refreshTimer?.cancel();
    this.#refreshTimer = undefined;
  }

  /** Returns the front that is the allocator of a group, if one is known. */
  of(group: number): string | undefined {
    return this.#allocators[group];
  }

  /** Returns the present time, and the part of the fleet that is connected. */
  allocationTime(): AllocationTime {
    const now = this.#opts.timer.monotonicNow();
    const fraction = this.#fraction.update(this.#opts.share.connected, now);
    return { now, fraction };
  }

  /** Chooses the allocators anew if the candidates have changed. */
  refresh(): void {
    const clocks = this.#clocks;
    const now = clocks.monotonic;
    const sinceMs = Math.max(
      now - this.#refreshedAt.monotonic,
      clocks.wall - this.#refreshedAt.wall,
    );
    if (sinceMs < REFRESH_INTERVAL_MS / 2) return;
    this.#refreshedAt = clocks;
    if (sinceMs >= SUSPENDED_MS) this.#startAnew(now);
    this.allocationTime();
    const { self } = this.#opts;
    const candidates = this.#opts.candidates();
    const siblings = candidates.filter((it) => it !== self);
    if (siblings.length > 0) {
      const settledAt = now + START_WITH_SIBLINGS_MS;
      this.#settledAt = Math.min(this.#settledAt, settledAt);
    }
    this.#isSettled = now >= this.#settledAt;
    this.#choose(this.#isSettled ? candidates : siblings);
  }

  /** Gives up all groups until this front has heard of its siblings again. */
  #startAnew(now: number): void {
    this.#settledAt = now + START_MS;
    this.#isSettled = false;
    this.#choose([]);
  }

  #choose(candidates: string[]): void {
    if (hasSameMembers(candidates, this.#candidates)) return;
    const { allocator, links, self, timer } = this.#opts;
    this.#candidates = candidates;
    for (let group = 0; group < GROUP_COUNT; group++) {
      const previous = this.#allocators[group];
      const chosen = allocatorOf(group, candidates);
      if (chosen === self) allocator.own(group, timer.monotonicNow());
      else allocator.disown(group);
      if (chosen === undefined) delete this.#allocators[group];
      else this.#allocators[group] = chosen;
      const isOther = chosen !== undefined && chosen !== self;
      if (isOther && chosen !== previous) links.dialAhead(chosen);
    }
  }

  get #clocks(): Clocks {
    const { timer } = this.#opts;
    return { monotonic: timer.monotonicNow(), wall: timer.now() };
  }
}
