import type { Timer } from "@toucantrestle/timer";

/**
 * A hybrid logical time stamp: wall-clock milliseconds and a counter that
 * orders events within one millisecond. After Kulkarni et al., "Logical
 * Physical Clocks", 2014.
 */
export interface Stamp {
  ms: number;
  count: number;
}

/** Hybrid logical clock of one process. */
export interface Clock {
  /** Stamps a local event. */
  tick(): Stamp;
  /** Merges a stamp that came with a message. */
  observe(remote: Stamp): void;
}

/** Creates a hybrid logical clock on a timer. */
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
    if (compareStamps(remote, last) > 0) last = remote;
  }

  return { tick, observe };
}

/** Orders two stamps. */
export function compareStamps(a: Stamp, b: Stamp): number {
  return a.ms - b.ms || a.count - b.count;
}
