import type { Subscription, Timer } from "./timer.ts";

/** A timer whose scheduled callbacks can be cancelled together. */
export interface TimerScope extends Timer {
  /** Cancels all scheduled callbacks and ignores new ones. */
  end(): void;
}

/** Creates a scope that schedules its callbacks on another timer. */
export function createTimerScope(timer: Timer): TimerScope {
  const active = new Set<Subscription>();
  let isEnded = false;

  function schedule(
    scheduleInner: (onFired: () => void) => Subscription,
  ): Subscription {
    if (isEnded) return { cancel() {} };
    const innerSubscription = scheduleInner(() => active.delete(subscription));
    const subscription: Subscription = {
      cancel() {
        active.delete(subscription);
        innerSubscription.cancel();
      },
    };
    active.add(subscription);
    return subscription;
  }

  function once(name: "after" | "afterAbout", delayMs: number, fn: () => void) {
    return schedule((onFired) =>
      timer[name](delayMs, () => {
        onFired();
        fn();
      })
    );
  }

  return {
    now: () => timer.now(),
    monotonicNow: () => timer.monotonicNow(),
    after: (delayMs, fn) => once("after", delayMs, fn),
    afterAbout: (delayMs, fn) => once("afterAbout", delayMs, fn),
    every: (intervalMs, fn) => schedule(() => timer.every(intervalMs, fn)),
    end() {
      isEnded = true;
      for (const subscription of [...active]) subscription.cancel();
    },
  };
}
