/** Runs what waits for its turn: one in each turn of the event loop. */
export class Turns {
  /** In the order of the turns. */
  readonly #waiting: (() => void)[] = [];

  /** Runs a function once those before it have had their turns. */
  add(run: () => void): void {
    this.#waiting.push(run);
    if (this.#waiting.length === 1) this.#schedule();
  }

  #schedule(): void {
    setImmediate(() => this.#runFirst());
  }

  #runFirst(): void {
    const run = this.#waiting.shift();
    if (this.#waiting.length > 0) this.#schedule();
    run?.();
  }
}
