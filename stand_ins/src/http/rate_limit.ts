const MS_PER_S = 1_000;

/** Token bucket that holds one second's worth of calls. */
export class RateLimit {
  readonly #perS: number;
  #tokens: number;
  #filledAt: number;

  constructor(perS: number, now: number) {
    this.#perS = perS;
    this.#tokens = perS;
    this.#filledAt = now;
  }

  /** Takes `amount` from the bucket, if there is that much. */
  take(now: number, amount = 1): boolean {
    const gained = (now - this.#filledAt) * this.#perS / MS_PER_S;
    this.#tokens = Math.min(this.#perS, this.#tokens + gained);
    this.#filledAt = now;
    if (this.#tokens < amount) return false;
    this.#tokens -= amount;
    return true;
  }
}
