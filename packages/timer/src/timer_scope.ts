import type { Subscription, Timer } from "./timer.ts";

/** A timer whose subscriptions can be ended together. */
export interface TimerScope extends Timer {
  /** Ends all subscriptions; new ones are ignored. */
  end(): void;
}

/** Creates a scope on another timer. */
export function createTimerScope(timer: Timer): TimerScope {
  const open = new Set<Subscription>();
  let isEnded = false;

  function track(start: (done: () => void) => Subscription): Subscription {
    if (isEnded) return { cancel() {} };
    const inner = start(() => open.delete(subscription));
    const subscription: Subscription = {
      cancel() {
        open.delete(subscription);
        inner.cancel();
      },
    };
    open.add(subscription);
    return subscription;
  }

  return {
    now: () => timer.now(),
    steady: () => timer.steady(),
    after: (delayMs, fn) =>
      track((done) =>
        timer.after(delayMs, () => {
          done();
          fn();
        })
      ),
    every: (intervalMs, fn) => track(() => timer.every(intervalMs, fn)),
    end() {
      isEnded = true;
      for (const subscription of [...open]) subscription.cancel();
    },
  };
}
