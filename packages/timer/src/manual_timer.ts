import type { Subscription, Timer } from "./timer.ts";

/** A timer that stands still until it is advanced. */
export interface ManualTimer extends Timer {
  /** Moves the clock by `ms` and runs everything that falls due, in order. */
  advance(ms: number): void;
}

interface Entry {
  dueAt: number;
  intervalMs: number | undefined;
  fn: () => void;
}

/** Creates a timer that is moved by hand, for tests and simulated runs. */
export function createManualTimer(startAt = 0): ManualTimer {
  let now = startAt;
  const entries = new Set<Entry>();

  function subscribe(entry: Entry): Subscription {
    entries.add(entry);
    return { cancel: () => entries.delete(entry) };
  }

  function runNextUntil(end: number): boolean {
    let next: Entry | undefined;
    for (const entry of entries) {
      if (entry.dueAt > end) continue;
      if (!next || entry.dueAt < next.dueAt) next = entry;
    }
    if (!next) return false;
    now = Math.max(now, next.dueAt);
    if (next.intervalMs === undefined) entries.delete(next);
    else next.dueAt += next.intervalMs;
    next.fn();
    return true;
  }

  return {
    now: () => now,
    steady: () => now,
    after: (delayMs, fn) =>
      subscribe({ dueAt: now + delayMs, intervalMs: undefined, fn }),
    every: (intervalMs, fn) =>
      subscribe({ dueAt: now + intervalMs, intervalMs, fn }),
    advance(ms) {
      const end = now + ms;
      while (runNextUntil(end));
      now = end;
    },
  };
}
