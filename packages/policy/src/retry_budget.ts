const MAX_SAVED_RETRIES = 20;
const INITIAL_RETRIES = 5;

/**
 * Budget of retries: each first try earns a share of a retry, so that retries
 * stay a bounded part of all tries.
 */
export class RetryBudget {
  #saved = INITIAL_RETRIES;

  /** Notes a first try. `share` is the retries it earns. */
  firstTry(share: number): void {
    this.#saved = Math.min(MAX_SAVED_RETRIES, this.#saved + share);
  }

  /** Takes one retry, if there is one. */
  take(): boolean {
    if (this.#saved < 1) return false;
    this.#saved -= 1;
    return true;
  }
}
