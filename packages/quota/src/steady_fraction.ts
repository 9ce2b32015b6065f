import { HANDOVER_MS } from "./bounds.ts";

/**
 * Fraction of the fleet for which an allocator may grant tokens: the least one
 * of the last `HANDOVER_MS` or more. When a partition ends, the fraction grows
 * only after the allocator of the other side has had time to stop.
 */
export class SteadyFraction {
  #slot = -Infinity;
  #least = 1;
  #previousLeast = 1;

  /** Records the fraction at `now` and returns the one that may be used. */
  update(fraction: number, now: number): number {
    const slot = Math.floor(now / HANDOVER_MS);
    if (slot !== this.#slot) {
      const isNext = slot === this.#slot + 1;
      this.#previousLeast = isNext ? this.#least : fraction;
      this.#least = fraction;
      this.#slot = slot;
    }
    this.#least = Math.min(this.#least, fraction);
    return Math.min(this.#least, this.#previousLeast);
  }
}
