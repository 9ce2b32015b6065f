import { TokenBucket } from "@toucantrestle/policy";
import {
  capacityOf,
  LEASE_MARGIN_MS,
  LEASE_MS,
  type Quota,
  type QuotaBounds,
} from "./bounds.ts";
import type { QuotaDemand, QuotaGrant, RequestKind } from "./messages.ts";

/** Fraction of the capacity that is kept for programs in progress. */
export const KEPT_FOR_CONTINUED = 0.15;
/** Tokens are granted in advance only beyond this fraction of the capacity. */
const KEPT_FROM_ADVANCE = 0.3;
/** After the start of the refill, requests wait for this long, in ms. */
const STARTING_MS = 2_500;
/** After a denial, fronts get a share of the rate for this long, in ms. */
const SCARCE_MS = 2_000;
/** Time's worth of its share that a front gets while tokens are scarce, in s. */
const SCARCE_SHARE_S = 0.6;
const MIN_WAIT_MS = 100;
const MAX_WAIT_MS = 5_000;
/** Absorbs rounding errors of the refill. */
const TOLERANCE_TOKENS = 1e-6;
const MS_PER_S = 1_000;

type GrantedTokens = Pick<QuotaGrant, "leased" | "direct">;

const NO_TOKENS: GrantedTokens = {
  leased: 0,
  direct: { continued: 0, new: 0 },
};

/** Tokens that one front may hold. */
interface Lease {
  seq: number;
  tokens: number;
  /** Tokens that the front wanted last. */
  want: number;
  expiresAt: number;
}

/** Options of `OrganisationBucket`. */
export interface OrganisationBucketOptions {
  quota: Quota;
  bounds: QuotaBounds;
  tokens: number;
  /** When the refill begins, in ms on the monotonic clock. */
  startsAt: number;
}

/** When a demand is answered and for which part of the fleet. */
export interface AllocationTime {
  /** In ms on the monotonic clock. */
  now: number;
  /** Fraction of the fleet that the allocator is connected to. */
  fraction: number;
}

/**
 * Tokens of one organisation at its allocator: unused ones and leases. Both
 * together never exceed the capacity of the quota, so the requests that run in
 * a window are at most its refill and the capacity.
 */
export class OrganisationBucket {
  readonly #bounds: QuotaBounds;
  readonly #bucket: TokenBucket;
  readonly #startsAt: number;
  /** By holder, in the order of their expiry. */
  readonly #leases = new Map<string, Lease>();
  #quota: Quota;
  #leased = 0;
  #wanted = 0;
  #scarceUntil = -Infinity;

  constructor({ quota, bounds, tokens, startsAt }: OrganisationBucketOptions) {
    this.#quota = quota;
    this.#bounds = bounds;
    this.#startsAt = startsAt;
    this.#bucket = new TokenBucket({ tokens, now: startsAt });
  }

  /** Changes the quota. Tokens above the capacity of a lower one are dropped. */
  setQuota(quota: Quota, time: AllocationTime): void {
    this.#refill(time);
    this.#quota = quota;
    this.#refill(time);
  }

  /** Drops the unused tokens above this number. */
  limitUnused(tokens: number): void {
    this.#bucket.take(Math.max(0, this.#bucket.tokens - tokens));
  }

  /** Answers the demand of a holder. */
  answer(
    demand: QuotaDemand,
    { holder, seq, time }: {
      holder: string;
      seq: number;
      time: AllocationTime;
    },
  ): QuotaGrant {
    this.#refill(time);
    const lease = this.#leases.get(holder);
    if (lease && seq <= lease.seq) {
      return this.#createGrant(demand.name, { tokens: NO_TOKENS, time });
    }
    const known = lease?.tokens ?? 0;
    const returned = Math.min(
      demand.returned,
      Math.max(0, known - demand.held),
    );
    this.#bucket.take(demand.reserveUsed - returned);
    const want = demand.want + demand.waiting;
    this.#replace(holder, { seq, tokens: demand.held, want, time });
    const tokens = this.#allocate(demand, { want, time });
    const { leased, direct } = tokens;
    this.#bucket.take(leased + direct.continued + direct.new);
    this.#replace(holder, { seq, tokens: demand.held + leased, want, time });
    return this.#createGrant(demand.name, { tokens, time });
  }

  /** Unused and leased tokens together, for tests and gauges. */
  get total(): number {
    return this.#bucket.tokens + this.#leased;
  }

  #refill({ now, fraction }: AllocationTime): void {
    for (const [holder, lease] of this.#leases) {
      if (lease.expiresAt > now) break;
      this.#drop(holder, lease);
    }
    const ratePerS = this.#quota.ratePerS * fraction;
    const max = Math.max(0, this.#capacity(fraction) - this.#leased);
    this.#bucket.refill({ ratePerS, max, now });
  }

  #capacity(fraction: number): number {
    return capacityOf(this.#quota, this.#bounds) * fraction;
  }

  #drop(holder: string, { tokens, want }: Lease): void {
    this.#leases.delete(holder);
    this.#leased -= tokens;
    this.#wanted -= want;
  }

  #replace(
    holder: string,
    { seq, tokens, want, time }: Omit<Lease, "expiresAt"> & {
      time: AllocationTime;
    },
  ): void {
    const known = this.#leases.get(holder);
    if (known) this.#drop(holder, known);
    const expiresAt = time.now + LEASE_MS + LEASE_MARGIN_MS;
    this.#leases.set(holder, { seq, tokens, want, expiresAt });
    this.#leased += tokens;
    this.#wanted += want;
  }

  #allocate(
    demand: QuotaDemand,
    { want, time }: { want: number; time: AllocationTime },
  ): GrantedTokens {
    const capacity = this.#capacity(time.fraction);
    const unused = wholeTokens(this.#bucket.tokens);
    const continued = Math.min(demand.waiting, unused);
    const forNew = Math.min(
      demand.waitingNew,
      wholeTokens(unused - continued - KEPT_FOR_CONTINUED * capacity),
    );
    const left = unused - continued - forNew;
    const isDenied = continued < demand.waiting || forNew < demand.waitingNew;
    if (isDenied) this.#scarceUntil = time.now + SCARCE_MS;
    const spare = wholeTokens(left - KEPT_FROM_ADVANCE * capacity);
    const fairShare = time.now < this.#scarceUntil
      ? Math.floor(SCARCE_SHARE_S * this.#sharedRate(want, time.fraction))
      : 0;
    const leased = Math.min(demand.want, left, Math.max(spare, fairShare));
    return { leased, direct: { continued, new: forNew } };
  }

  /** The part of the rate for a front that wants so many tokens, per s. */
  #sharedRate(want: number, fraction: number): number {
    const share = want / Math.max(1, this.#wanted);
    return this.#quota.ratePerS * fraction * share;
  }

  #createGrant(
    name: string,
    { tokens, time }: { tokens: GrantedTokens; time: AllocationTime },
  ): QuotaGrant {
    const kept = KEPT_FOR_CONTINUED * this.#capacity(time.fraction);
    const waitMs: Record<RequestKind, number> = {
      continued: this.#waitMs(1, time),
      new: this.#waitMs(1 + kept, time),
    };
    const isLow = this.#bucket.tokens < kept;
    const isStarting = time.now < this.#startsAt + STARTING_MS;
    return { name, ...tokens, isLow, isStarting, waitMs };
  }

  /** Time until there are so many unused tokens, in ms. */
  #waitMs(tokens: number, { fraction }: AllocationTime): number {
    const missing = Math.max(0, tokens - this.#bucket.tokens);
    const ms = missing / (this.#quota.ratePerS * fraction) * MS_PER_S;
    return Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, ms));
  }
}

function wholeTokens(tokens: number): number {
  return Math.max(0, Math.floor(tokens + TOLERANCE_TOKENS));
}
