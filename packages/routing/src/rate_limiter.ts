import { TokenBucket } from "@toucantrestle/policy";

/**
 * What a permit is for. A request that continues one has begun work that only a
 * few upstreams can finish, so it may use tokens in advance.
 */
export type PermitKind = "new" | "continued";

/** A request for a permit. */
export interface PermitRequest {
  kind: PermitKind;
  /**
   * How much the request gains by the permit, from 0 to 1. The less it gains,
   * the more unused tokens there must be.
   */
  weight: number;
}

/** Tokens that may be used in advance, by kind of permit. */
const ADVANCE_TOKENS: Record<PermitKind, number> = { new: 0, continued: 2 };
/** Unused tokens are kept for bursts up to this time's worth, in s. */
const BURST_S = 0.5;
const MS_PER_S = 1_000;
/** Absorbs rounding errors of the refill. */
const TOLERANCE_TOKENS = 1e-6;

/** Token bucket for one upstream. Starts empty. Times are monotonic, in ms. */
export class RateLimiter {
  readonly #bucket: TokenBucket;

  constructor(now: number) {
    this.#bucket = new TokenBucket({ tokens: 0, now });
  }

  /**
   * Takes a token for one request. Returns 0 if there is one, and otherwise the
   * time until there will be, in ms.
   */
  take(
    { kind, weight }: PermitRequest,
    { ratePerS, now }: { ratePerS: number; now: number },
  ): number {
    const max = 1 + BURST_S * ratePerS;
    this.#bucket.refill({ ratePerS, max, now });
    const reserve = (1 - weight) * BURST_S * ratePerS;
    const missing = 1 + reserve - ADVANCE_TOKENS[kind] - this.#bucket.tokens;
    if (missing > TOLERANCE_TOKENS) {
      return Math.ceil(missing / ratePerS * MS_PER_S);
    }
    this.#bucket.take(1);
    return 0;
  }
}
