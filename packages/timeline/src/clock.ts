import type { Timer } from "@toucantrestle/timer";

/**
 * Hybrid logical timestamp: wall-clock time in milliseconds and a counter that
 * orders events within one millisecond. See Kulkarni et al., "Logical Physical
 * Clocks", 2014.
 */
export interface HybridTimestamp {
  ms: number;
  count: number;
}

/** Hybrid logical clock of one process. */
export interface Clock {
  /** Returns the timestamp of a new local event. */
  tick(): HybridTimestamp;
  /** Advances the clock to the timestamp of a received message, if later. */
  observe(remote: HybridTimestamp): void;
}

/** Creates a hybrid logical clock that reads the wall-clock time of a timer. */
export function createClock(timer: Timer): Clock {
  let last: HybridTimestamp = { ms: 0, count: 0 };

  function tick(): HybridTimestamp {
    const now = timer.now();
    last = now > last.ms
      ? { ms: now, count: 0 }
      : { ms: last.ms, count: last.count + 1 };
    return last;
  }

  function observe(remote: HybridTimestamp): void {
    if (compareTimestamps(remote, last) > 0) last = remote;
  }

  return { tick, observe };
}

/** Compares two timestamps, for use with `Array.sort`. */
export function compareTimestamps(
  a: HybridTimestamp,
  b: HybridTimestamp,
): number {
  return a.ms - b.ms || a.count - b.count;
}
