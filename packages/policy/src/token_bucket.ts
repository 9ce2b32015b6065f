const MS_PER_S = 1_000;

/** How a bucket is refilled until `now`, in ms on the monotonic clock. */
export interface Refill {
  /** Tokens added per second. */
  ratePerS: number;
  /** Number of tokens at which the refill stops. */
  max: number;
  now: number;
}

/** Token bucket whose rate and size may change with each refill. */
export class TokenBucket {
  #tokens: number;
  #refilledAt: number;

  /** The refill begins at `now`, which may be in the future. */
  constructor(opts: { tokens: number; now: number }) {
    this.#tokens = opts.tokens;
    this.#refilledAt = opts.now;
  }

  /** Number of tokens; negative if some were taken in advance. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Adds the tokens of the time that has passed; drops those above `max`. */
  refill({ ratePerS, max, now }: Refill): void {
    const elapsedS = Math.max(0, now - this.#refilledAt) / MS_PER_S;
    this.#tokens = Math.min(max, this.#tokens + elapsedS * ratePerS);
    this.#refilledAt = Math.max(this.#refilledAt, now);
  }

  /** Takes tokens, or puts them back if `count` is negative. */
  take(count: number): void {
    this.#tokens -= count;
  }
}
