import { toDelayMs, toIntervalMs } from "./delay.ts";
import type { Subscription, Timer } from "./timer.ts";

/** A timer whose clock moves only when `advance` is called. */
export interface ManualTimer extends Timer {
  /** Advances the clock by `ms` and runs all due callbacks in time order. */
  advance(ms: number): void;
}

interface ScheduledCallback {
  dueAt: number;
  intervalMs: number | undefined;
  fn: () => void;
}

/** Creates a manually advanced timer, for tests and simulations. */
export function createManualTimer(startAt = 0): ManualTimer {
  let now = startAt;
  const scheduled = new Set<ScheduledCallback>();

  function schedule(callback: ScheduledCallback): Subscription {
    scheduled.add(callback);
    return { cancel: () => scheduled.delete(callback) };
  }

  function runNextDue(end: number): boolean {
    let next: ScheduledCallback | undefined;
    for (const callback of scheduled) {
      if (callback.dueAt > end) continue;
      if (!next || callback.dueAt < next.dueAt) next = callback;
    }
    if (!next) return false;
    now = Math.max(now, next.dueAt);
    if (next.intervalMs === undefined) scheduled.delete(next);
    else next.dueAt += next.intervalMs;
    next.fn();
    return true;
  }

  function scheduleOnce(delayMs: number, fn: () => void): Subscription {
    const dueAt = now + toDelayMs(delayMs);
    return schedule({ dueAt, intervalMs: undefined, fn });
  }

  function scheduleEvery(delayMs: number, fn: () => void): Subscription {
    const intervalMs = toIntervalMs(delayMs);
    return schedule({ dueAt: now + intervalMs, intervalMs, fn });
  }

  return {
    now: () => now,
    monotonicNow: () => now,
    after: scheduleOnce,
    afterAbout: scheduleOnce,
    every: scheduleEvery,
    advance(ms) {
      const end = now + ms;
      while (runNextDue(end));
      now = end;
    },
  };
}
