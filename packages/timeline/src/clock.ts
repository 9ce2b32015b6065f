import type { Timer } from "@toucantrestle/timer";

/**
 * Hybrid logical timestamp: wall-clock time in milliseconds and a counter that
 * orders events within one millisecond. See Kulkarni et al., "Logical Physical
 * Clocks", 2014.
 */
export interface Stamp {
  ms: number;
  count: number;
}

/** Hybrid logical clock of one process. */
export interface Clock {
  /** Returns the timestamp of a new local event. */
  tick(): Stamp;
  /** Advances the clock to the timestamp of a received message, if later. */
  observe(remote: Stamp): void;
}

/** Creates a hybrid logical clock that reads the wall-clock time of a timer. */
export function createClock(timer: Timer): Clock {
  let last: Stamp = { ms: 0, count: 0 };

  function tick(): Stamp {
    const now = timer.now();
    last = now > last.ms
      ? { ms: now, count: 0 }
      : { ms: last.ms, count: last.count + 1 };
    return last;
  }

  function observe(remote: Stamp): void {
    if (compareTimestamps(remote, last) > 0) last = remote;
  }

  return { tick, observe };
}

/** Compares two timestamps, for use with `Array.sort`. */
export function compareTimestamps(a: Stamp, b: Stamp): number {
  return a.ms - b.ms || a.count - b.count;
}
