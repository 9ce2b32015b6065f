/** Limit on the requests of an organisation over all fronts. */
export interface Quota {
  /** Requests per second. */
  ratePerS: number;
  /** Requests beyond the rate that may be sent at once. */
  burst: number;
}

/** How far the requests that run may exceed a quota. */
export interface QuotaBounds {
  /** Length of the sliding window in which requests are counted, in ms. */
  windowMs: number;
  /** Fraction by which a window may exceed rate and burst. */
  overage: number;
  /** Requests by which a window may exceed them in addition. */
  slack: number;
}

export const DEFAULT_BOUNDS: QuotaBounds = {
  windowMs: 5_000,
  overage: 0.1,
  slack: 20,
};

/** Validity of a lease at its holder, in ms from the sending of its request. */
export const LEASE_MS = 2_000;
/**
 * The allocator counts a lease for this much longer than its holder, in ms.
 * Covers clocks that run at slightly different speeds.
 */
export const LEASE_MARGIN_MS = 300;
/**
 * Time in ms for which a new allocator does not refill its buckets. The
 * previous one may grant until it has learnt of the change.
 */
export const HANDOVER_MS = 600;
/**
 * Validity of a token that is granted to a waiting request, in ms from the
 * sending of the query. The allocator counts it as used at once.
 */
export const DIRECT_MS = 150;
/** Part of the overage of the rate that the reserves of all fronts may use. */
const OVERAGE_IN_RESERVES = 0.3;
/** Part of the slack that tokens in the bucket may use. */
const SLACK_IN_BUCKET = 1 / 2;
/** Part of the slack that the reserves of all fronts may use. */
const SLACK_IN_RESERVES = 1 / 4;
/** Part of the slack with which the bucket of a new allocator begins. */
const SLACK_AT_START = 1 / 4;
const MS_PER_S = 1_000;

/** Most requests that may run in one window. */
export function maxInWindow(quota: Quota, bounds: QuotaBounds): number {
  const { overage, slack, windowMs } = bounds;
  const nominal = quota.ratePerS * windowMs / MS_PER_S + quota.burst;
  return nominal * (1 + overage) + slack;
}

/**
 * Most tokens of a quota that may be unused or leased at the same time. The
 * rest of the overage is for tokens that are used up to `DIRECT_MS` after they
 * were counted, and for the reserves of fronts that cannot ask the allocator;
 * the rest of the slack is for one change of allocator and for the reserves.
 */
export function capacityOf(quota: Quota, bounds: QuotaBounds): number {
  const usedLater = quota.ratePerS * DIRECT_MS / MS_PER_S;
  const forRate = (1 - OVERAGE_IN_RESERVES) * rateOverage(quota, bounds);
  return quota.burst * (1 + bounds.overage) +
    Math.max(0, forRate - usedLater) + SLACK_IN_BUCKET * bounds.slack;
}

/** Tokens in the bucket of a new allocator. */
export function startTokens(bounds: QuotaBounds): number {
  return SLACK_AT_START * bounds.slack;
}

/** Tokens that the reserves of all fronts may hold together. */
export function reserveCapacity(quota: Quota, bounds: QuotaBounds): number {
  return OVERAGE_IN_RESERVES * rateOverage(quota, bounds) +
    SLACK_IN_RESERVES * bounds.slack;
}

/** Requests by which the rate may be exceeded in one window. */
function rateOverage(quota: Quota, bounds: QuotaBounds): number {
  return bounds.overage * quota.ratePerS * bounds.windowMs / MS_PER_S;
}
