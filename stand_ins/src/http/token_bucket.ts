const MS_PER_S = 1_000;

/** Token bucket rate limiter with a burst size of one second's tokens. */
export class TokenBucket {
  readonly #ratePerS: number;
  #tokens: number;
  #refilledAt: number;

  constructor(ratePerS: number, now: number) {
    this.#ratePerS = ratePerS;
    this.#tokens = ratePerS;
    this.#refilledAt = now;
  }

  /**
   * Removes `amount` tokens if the bucket holds that many.
   *
   * @returns whether the tokens were removed
   */
  take(now: number, amount = 1): boolean {
    const refill = (now - this.#refilledAt) * this.#ratePerS / MS_PER_S;
    this.#tokens = Math.min(this.#ratePerS, this.#tokens + refill);
    this.#refilledAt = now;
    if (this.#tokens < amount) return false;
    this.#tokens -= amount;
    return true;
  }
}
