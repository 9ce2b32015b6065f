/** Smoothing of the mean work of the calls of a service. */
const MEAN_SMOOTHING = 0.02;
/** A call with this multiple of the mean work has the full weight. */
const FULL_WEIGHT_FACTOR = 2;

/**
 * Weighs calls against each other for the permits of limited upstreams. A limit
 * counts requests, whatever their work, so large ones gain most by a permit.
 */
export class PermitWeights {
  readonly #meanMs = new Map<string, number>();

  /** Learns the work of one more call to a service, in ms. */
  observe(service: string, workMs: number): void {
    const mean = this.#meanMs.get(service) ?? workMs;
    this.#meanMs.set(service, mean + MEAN_SMOOTHING * (workMs - mean));
  }

  /** Returns the weight of a call, from 0 to 1. */
  weightOf(service: string, workMs: number): number {
    const mean = this.#meanMs.get(service);
    if (mean === undefined || mean <= 0) return 1;
    return Math.min(1, workMs / (FULL_WEIGHT_FACTOR * mean));
  }
}
