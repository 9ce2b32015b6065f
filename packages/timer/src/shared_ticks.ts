import type { Subscription, Timer } from "./timer.ts";

interface Entry {
  /** When it is due, in ms; it runs at the next multiple of `gridMs`. */
  dueAt: number;
  gridMs: number;
  isCancelled: boolean;
  intervalMs: number | undefined;
  fn: () => void;
}

/**
 * Callbacks run at multiples of these times since the start of the clock.
 * Delays that are multiples of the coarse one use it, so that they wake the
 * process together; the others must not be late by so much.
 */
const COARSE_GRID_MS = 200;
const FINE_GRID_MS = 100;

/**
 * Runs callbacks at common points in time. Each wake-up of an idle process
 * costs more than the callbacks themselves.
 */
export class SharedTicks {
  readonly #entries = new Set<Entry>();
  readonly #clock: Pick<Timer, "monotonicNow" | "after">;
  readonly #onError: (err: unknown) => void;
  #wakeUp: Subscription | undefined;
  /** When the next wake-up is planned, in ms. */
  #wakeAt = Infinity;

  /**
   * `onError` receives the errors of callbacks. By default they become errors
   * that nothing handles, which the process logs.
   */
  constructor(
    clock: Pick<Timer, "monotonicNow" | "after">,
    onError: (err: unknown) => void = throwLater,
  ) {
    this.#clock = clock;
    this.#onError = onError;
  }

  /** Calls `fn` after `delayMs`, and then each `intervalMs` if that is given. */
  add(
    delayMs: number,
    opts: { intervalMs: number | undefined; fn: () => void },
  ): Subscription {
    const entry = {
      ...opts,
      dueAt: this.#clock.monotonicNow() + delayMs,
      gridMs: delayMs % COARSE_GRID_MS === 0 ? COARSE_GRID_MS : FINE_GRID_MS,
      isCancelled: false,
    };
    this.#entries.add(entry);
    this.#plan(gridPoint(entry));
    return { cancel: () => this.#cancel(entry) };
  }

  #cancel(entry: Entry): void {
    entry.isCancelled = true;
    this.#entries.delete(entry);
    if (this.#entries.size === 0) this.#stop();
  }

  #stop(): void {
    this.#wakeUp?.cancel();
    this.#wakeUp = undefined;
    this.#wakeAt = Infinity;
  }

  #plan(at: number): void {
    if (at >= this.#wakeAt) return;
    this.#wakeUp?.cancel();
    this.#wakeAt = at;
    const delayMs = Math.ceil(at - this.#clock.monotonicNow());
    this.#wakeUp = this.#clock.after(Math.max(1, delayMs), () => this.#run());
  }

  #run(): void {
    this.#stop();
    const now = this.#clock.monotonicNow();
    const due = [...this.#entries].filter((it) => it.dueAt <= now);
    for (const entry of due) {
      if (entry.intervalMs === undefined) this.#entries.delete(entry);
      // A process that was suspended does not make up for what it missed.
      else entry.dueAt = nextDue(entry.dueAt, entry.intervalMs, now);
    }
    this.#planNext();
    for (const entry of due) {
      if (!entry.isCancelled) this.#call(entry);
    }
  }

  /** Calls an entry. Its error must not keep the others from being called. */
  #call(entry: Entry): void {
    try {
      entry.fn();
    } catch (err) {
      this.#onError(err);
    }
  }

  #planNext(): void {
    let next = Infinity;
    for (const entry of this.#entries) {
      next = Math.min(next, gridPoint(entry));
    }
    if (next < Infinity) this.#plan(next);
  }
}

function throwLater(err: unknown): void {
  queueMicrotask(() => {
    throw err;
  });
}

function nextDue(dueAt: number, intervalMs: number, now: number): number {
  const next = dueAt + intervalMs;
  return next > now ? next : now + intervalMs;
}

function gridPoint({ dueAt, gridMs }: Entry): number {
  return Math.ceil(dueAt / gridMs) * gridMs;
}
