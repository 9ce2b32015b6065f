import type { Subscription, Timer } from "@toucantrestle/timer";

/**
 * Manual timer for models with many timers: callbacks are kept by the ms at
 * which they are due, so that an advance does not visit all of them.
 */
export class WheelTimer implements Timer {
  #now: number;
  readonly #due = new Map<number, Set<() => void>>();

  constructor(startAt: number) {
    this.#now = startAt;
  }

  now(): number {
    return this.#now;
  }

  monotonicNow(): number {
    return this.#now;
  }

  after(delayMs: number, fn: () => void): Subscription {
    const at = Math.max(this.#now + 1, Math.ceil(this.#now + delayMs));
    const callbacks = this.#due.get(at) ?? new Set();
    this.#due.set(at, callbacks);
    const callback = () => fn();
    callbacks.add(callback);
    return { cancel: () => callbacks.delete(callback) };
  }

  afterAbout(delayMs: number, fn: () => void): Subscription {
    return this.after(delayMs, fn);
  }

  every(intervalMs: number, fn: () => void): Subscription {
    let current: Subscription;
    const schedule = () => {
      current = this.after(intervalMs, () => {
        schedule();
        fn();
      });
    };
    schedule();
    return { cancel: () => current.cancel() };
  }

  advance(ms: number): void {
    for (const end = this.#now + ms; this.#now < end;) {
      this.#now += 1;
      const callbacks = this.#due.get(this.#now);
      this.#due.delete(this.#now);
      for (const fn of callbacks ?? []) fn();
    }
  }
}
