const MAX_AVAILABLE_RETRIES = 20;
const INITIAL_RETRIES = 5;

/**
 * Retry budget. Each first attempt adds a fraction of a retry, so that retries
 * stay a bounded fraction of all attempts.
 */
export class RetryBudget {
  #available = INITIAL_RETRIES;

  /** Records a first attempt, which adds `share` retries to the budget. */
  recordFirstAttempt(share: number): void {
    this.#available = Math.min(MAX_AVAILABLE_RETRIES, this.#available + share);
  }

  /** Consumes one retry. Returns false if the budget is exhausted. */
  tryConsume(): boolean {
    if (this.#available < 1) return false;
    this.#available -= 1;
    return true;
  }
}
