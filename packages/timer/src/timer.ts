/** Handle of a scheduled callback or another subscription. */
export interface Subscription {
  /** Cancels the subscription; its callback is not called again. */
  cancel(): void;
}

/**
 * Clock and timers that all components of a process share. Times in ms. Delays
 * may be fractions and of any length, and negative ones count as 0. They throw a
 * `RangeError` if they are no number.
 */
export interface Timer {
  /** Returns the wall-clock time in milliseconds since the Unix epoch. */
  now(): number;
  /**
   * Returns a monotonic time in milliseconds, for measuring durations.
   * Adjustments of the wall clock do not affect it.
   */
  monotonicNow(): number;
  /** Calls `fn` once after `delayMs`; fractions of a ms are rounded up. */
  after(delayMs: number, fn: () => void): Subscription;
  /**
   * Calls `fn` once after `delayMs`, or up to 200 ms later together with other
   * callbacks of the process, which saves wake-ups.
   */
  afterAbout(delayMs: number, fn: () => void): Subscription;
  /**
   * Calls `fn` every `intervalMs`, at least a millisecond apart, for the first time after one interval. Calls
   * may be up to 200 ms late to be together with other callbacks.
   */
  every(intervalMs: number, fn: () => void): Subscription;
}

/** Returns a promise that resolves after `delayMs` on the given timer. */
export function sleep(timer: Timer, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    timer.after(delayMs, resolve);
  });
}
