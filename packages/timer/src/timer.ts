/** A subscription to the timer service, ended by `cancel`. */
export interface Subscription {
  cancel(): void;
}

/** One clock that all parts of a process subscribe to. Times in ms. */
export interface Timer {
  /** Wall-clock time in milliseconds since the Unix epoch. */
  now(): number;
  /** Milliseconds on a clock that never jumps; for measuring spans. */
  steady(): number;
  /** Calls `fn` once after `delayMs`. */
  after(delayMs: number, fn: () => void): Subscription;
  /** Calls `fn` every `intervalMs`, first after one interval. */
  every(intervalMs: number, fn: () => void): Subscription;
}

/** Resolves after `delayMs` on the given timer. */
export function sleep(timer: Timer, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    timer.after(delayMs, resolve);
  });
}
