/** Most programs that are remembered. */
const MAX_PROGRAMS = 5_000;
/** A program without a request for this long is not in progress, in ms. */
const KEEP_MS = 120_000;

/** Programs of which this front has admitted a request recently. */
export class RecentPrograms {
  /** Time of the last request by key, oldest first. */
  readonly #lastAt = new Map<string, number>();

  /** `key` names the program and its organisation. */
  add(key: string, now: number): void {
    this.#lastAt.delete(key);
    this.#lastAt.set(key, now);
    if (this.#lastAt.size <= MAX_PROGRAMS) return;
    for (const oldest of this.#lastAt.keys()) {
      this.#lastAt.delete(oldest);
      break;
    }
  }

  has(key: string, now: number): boolean {
    return now - (this.#lastAt.get(key) ?? -Infinity) < KEEP_MS;
  }
}
