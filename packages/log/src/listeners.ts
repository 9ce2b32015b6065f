import type { Logger } from "./mod.ts";

/**
 * Listeners of one event. An error of one is logged; it keeps neither the
 * others nor the caller from going on.
 */
export class Listeners<Args extends unknown[] = []> {
  readonly #event: string;
  readonly #log: Logger;
  readonly #fns = new Set<(...args: Args) => void>();

  /** `event` is the name of the event in the log. */
  constructor(event: string, log: Logger) {
    this.#event = event;
    this.#log = log;
  }

  /** Number of listeners. */
  get size(): number {
    return this.#fns.size;
  }

  /** Adds a listener; returns how to remove it. */
  add(fn: (...args: Args) => void): () => void {
    this.#fns.add(fn);
    return () => this.#fns.delete(fn);
  }

  /** Calls all listeners that are there now. */
  notify(...args: Args): void {
    for (const fn of [...this.#fns]) this.#call(fn, args);
  }

  #call(fn: (...args: Args) => void, args: Args): void {
    try {
      fn(...args);
    } catch (err) {
      const reason = err instanceof Error ? err.stack : String(err);
      this.#log.error(`a listener to ${this.#event} failed: ${reason}`, {
        event: "listener_failed",
      });
    }
  }
}
