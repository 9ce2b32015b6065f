/** Time constant of the estimate, in ms. */
const SMOOTHING_MS = 2_500;
const MS_PER_S = 1_000;

/** Estimate of the requests per second of one organisation at a front. */
export class DemandEstimate {
  #ratePerS = 0;
  #updatedAt = -Infinity;

  /** Time of the last request, in ms on the monotonic clock. */
  get lastAt(): number {
    return this.#updatedAt;
  }

  /** Records a request. */
  add(now: number): void {
    this.#ratePerS = this.ratePerS(now) + MS_PER_S / SMOOTHING_MS;
    this.#updatedAt = now;
  }

  ratePerS(now: number): number {
    const elapsedMs = Math.max(0, now - this.#updatedAt);
    return this.#ratePerS * Math.exp(-elapsedMs / SMOOTHING_MS);
  }
}
