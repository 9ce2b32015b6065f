import {
  capacityOf,
  DIRECT_MS,
  LEASE_MS,
  type Quota,
  type QuotaBounds,
} from "./bounds.ts";
import { DemandEstimate } from "./demand_estimate.ts";
import type { QuotaDemand, QuotaGrant, RequestKind } from "./messages.ts";

/** Both clocks of a process, in ms. */
export interface Clocks {
  monotonic: number;
  wall: number;
}

/** Tokens are wanted for this time's worth of requests, in s. */
const ADVANCE_S = 0.6;
/** Fewer requests than this are not worth a token that others may need. */
const MIN_EXPECTED = 0.5;
/** A lease with fewer tokens than this part of those wanted is renewed early. */
const RENEW_BELOW = 0.25;
/** An organisation without requests for this long is forgotten, in ms. */
const FORGET_MS = 15_000;

const NEVER: Clocks = { monotonic: -Infinity, wall: -Infinity };

/** A token of a lease, by its epoch, or one that is valid for a time. */
export type HeldToken = { epoch: number } | { until: Clocks };

/** Returns a time `ms` after another one, on both clocks. */
export function later({ monotonic, wall }: Clocks, ms: number): Clocks {
  return { monotonic: monotonic + ms, wall: wall + ms };
}

/** Whether a time has come on either clock. */
export function isPast(time: Clocks, { monotonic, wall }: Clocks): boolean {
  return monotonic >= time.monotonic || wall >= time.wall;
}

/** The tokens of one organisation that a front holds. */
export class HeldLease {
  readonly #name: string;
  readonly #demand = new DemandEstimate();
  readonly #deniedUntil: Record<RequestKind, number> = {
    continued: -Infinity,
    new: -Infinity,
  };
  readonly #waiting: Record<RequestKind, number> = { continued: 0, new: 0 };
  #quota: Quota;
  /** Tokens that no request has been admitted with. */
  #free = 0;
  /** Tokens of requests that are admitted and not yet sent. */
  #admitted = 0;
  /** Tokens for waiting requests, which the allocator counts as used. */
  #direct: Record<RequestKind, number> = { continued: 0, new: 0 };
  #directUntil: Clocks = NEVER;
  #isLow = false;
  #expiresAt: Clocks = NEVER;
  #epoch = 0;
  /** Requests on the reserve that the allocator does not know of. */
  #reserveUsed = 0;
  #reportedReserve = 0;

  constructor(name: string, quota: Quota) {
    this.#name = name;
    this.#quota = quota;
  }

  get quota(): Quota {
    return this.#quota;
  }

  /** Tokens held, including those of admitted requests. */
  get held(): number {
    return this.#free + this.#admitted;
  }

  /** Applies a new quota; a lower one holds for tokens held as well. */
  setQuota(quota: Quota, bounds: QuotaBounds): void {
    const ratio = capacityOf(quota, bounds) / capacityOf(this.#quota, bounds);
    if (ratio < 1) this.#free = Math.floor(this.#free * ratio);
    this.#quota = quota;
  }

  /** Drops the tokens if the lease has expired. */
  refresh(clocks: Clocks): void {
    if (isPast(this.#directUntil, clocks)) {
      this.#direct = { continued: 0, new: 0 };
    }
    if (this.held === 0 || !isPast(this.#expiresAt, clocks)) return;
    this.#free = 0;
    this.#admitted = 0;
    this.#epoch += 1;
  }

  /** Records a request that would use a token. */
  recordDemand(now: number): void {
    this.#demand.add(now);
  }

  /** Takes a token for a request, if there is one that it may use. */
  admit(kind: RequestKind): HeldToken | undefined {
    if (this.#direct[kind] > 0) {
      this.#direct[kind] -= 1;
      return { until: this.#directUntil };
    }
    const isAllowed = kind === "continued" || !this.#isLow;
    if (this.#free === 0 || !isAllowed) return undefined;
    this.#free -= 1;
    this.#admitted += 1;
    return { epoch: this.#epoch };
  }

  /** Uses the token of an admitted request; false if its lease has expired. */
  use(epoch: number): boolean {
    if (epoch !== this.#epoch || this.#admitted === 0) return false;
    this.#admitted -= 1;
    return true;
  }

  /** Gives back the token of a request that is not sent. */
  release(epoch: number): void {
    if (this.use(epoch)) this.#free += 1;
  }

  recordReserveUse(): void {
    this.#reserveUsed += 1;
  }

  /** Time until a denied request of this kind may ask again, in ms. */
  deniedMs(kind: RequestKind, now: number): number {
    return Math.max(0, this.#deniedUntil[kind] - now);
  }

  /** Counts requests that wait for the next answer. */
  addWaiting(kind: RequestKind, count: number): void {
    this.#waiting[kind] += count;
  }

  /** Whether so few tokens are left that the lease should be renewed early. */
  isRunningOut(now: number): boolean {
    return this.#free < RENEW_BELOW * this.#demand.ratePerS(now) * ADVANCE_S;
  }

  /** Whether this front needs no state of the organisation. */
  isForgettable(now: number): boolean {
    const isWaiting = this.#waiting.continued + this.#waiting.new > 0;
    return this.held === 0 && !isWaiting && this.#reserveUsed === 0 &&
      now - this.#demand.lastAt > FORGET_MS;
  }

  /** Returns what to ask for; undefined if there is nothing to tell. */
  createDemand(now: number): QuotaDemand | undefined {
    const wanted = this.#wanted(now);
    const waiting = this.#waiting.continued + this.#waiting.new;
    const returned = Math.max(0, this.#free - wanted - waiting);
    this.#free -= returned;
    this.#reportedReserve = this.#reserveUsed;
    const { continued, new: first } = this.#waiting;
    // Requests count as waiting until they have taken their tokens.
    const free = this.#free;
    const left = this.#isLow ? 0 : Math.max(0, free - continued);
    const demand: QuotaDemand = {
      name: this.#name,
      held: this.held,
      returned,
      want: Math.max(0, wanted - free),
      waiting: Math.max(0, continued - free - this.#direct.continued),
      waitingNew: Math.max(0, first - left - this.#direct.new),
      reserveUsed: this.#reserveUsed,
    };
    const { name: _, ...counts } = demand;
    return Object.values(counts).some((it) => it > 0) ? demand : undefined;
  }

  /** Adds the granted tokens to the lease, which was requested at `sentAt`. */
  accept(grant: QuotaGrant, sentAt: Clocks): void {
    this.#free += grant.leased;
    this.#direct = { ...grant.direct };
    this.#directUntil = later(sentAt, DIRECT_MS);
    this.#isLow = grant.isLow;
    this.#expiresAt = later(sentAt, LEASE_MS);
    this.#reserveUsed -= this.#reportedReserve;
    this.#reportedReserve = 0;
  }

  /** Denies requests of this kind for a time. */
  deny(kind: RequestKind, until: number): void {
    this.#deniedUntil[kind] = until;
  }

  #wanted(now: number): number {
    const expected = this.#demand.ratePerS(now) * ADVANCE_S;
    return Math.ceil(Math.max(0, expected - MIN_EXPECTED));
  }
}
