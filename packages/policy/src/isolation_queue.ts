/**
 * A request that was in flight when an engine crashed and may have caused the
 * crash. Times are in ms since the epoch.
 */
export interface Suspect {
  fingerprint: string;
  /** Start of the attempt during which the engine crashed. */
  startedAt: number;
}

/** A queued suspect. */
interface QueuedSuspect extends Suspect {
  grant: () => void;
  enqueuedAt: number;
}

/**
 * Delay before the first suspect runs, so that all suspects of one crash are in
 * the queue by then.
 */
const COLLECTION_WINDOW_MS = 150;
/** A suspect loses its turn if the end of its run is not reported in time. */
const TURN_TIMEOUT_MS = 15_000;

/**
 * Runs suspects one at a time across the whole fleet, so that a crash during a
 * turn identifies exactly one of them as the cause. The suspect that was
 * started last before the crash runs first, since engines mostly crash on
 * requests that they have just started.
 */
export class IsolationQueue {
  #waiting: QueuedSuspect[] = [];
  #running: { fingerprint: string; since: number } | undefined;

  /** Number of queued suspects. */
  get waiting(): number {
    return this.#waiting.length;
  }

  /** Adds a suspect. `grant` is called when it may run. */
  enqueue(suspect: Suspect, opts: { now: number; grant: () => void }): void {
    this.#waiting.push({
      ...suspect,
      grant: opts.grant,
      enqueuedAt: opts.now,
    });
  }

  /** Ends the turn of a suspect. */
  endTurn(fingerprint: string): void {
    if (this.#running?.fingerprint === fingerprint) this.#running = undefined;
  }

  /** Lets all queued suspects run, since the cause of the crash is known. */
  releaseAll(): void {
    const released = this.#waiting;
    this.#waiting = [];
    this.#running = undefined;
    for (const entry of released) entry.grant();
  }

  /**
   * Grants the next turn if no suspect is running and the collection window is
   * over. Ends the current turn if it has timed out.
   */
  poll(now: number): void {
    if (this.#running && now - this.#running.since >= TURN_TIMEOUT_MS) {
      this.#running = undefined;
    }
    if (this.#running || this.#waiting.length === 0) return;
    const firstEnqueuedAt = Math.min(
      ...this.#waiting.map((it) => it.enqueuedAt),
    );
    if (now - firstEnqueuedAt < COLLECTION_WINDOW_MS) return;
    this.#waiting.sort((a, b) => b.startedAt - a.startedAt);
    const next = this.#waiting.shift() as QueuedSuspect;
    this.#running = { fingerprint: next.fingerprint, since: now };
    next.grant();
  }
}
