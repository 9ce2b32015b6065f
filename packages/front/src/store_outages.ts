import type { Timer } from "@toucantrestle/timer";

/** Entries removed this soon after an outage may have expired leases. */
const LEASE_EXPIRY_WINDOW_MS = 2_000;
/** No lease expires during an outage shorter than this. */
const MIN_OUTAGE_MS = 2_000;

/**
 * Outages of the store as this process sees them. An entry that is deleted soon
 * after one may only have lapsed: its upstream could not renew it.
 */
export class StoreOutages {
  readonly #timer: Timer;
  /** When the store became unreachable; undefined while it is reachable. */
  #disconnectedAt: number | undefined;
  /** End of the last outage that was long enough for leases to expire. */
  #endedAt = -Infinity;
  /**
   * What is written after this revision was written after that outage;
   * undefined while no such revision is known.
   */
  #endRevision: number | undefined = 0;

  constructor(timer: Timer) {
    this.#timer = timer;
    // A process may start in an outage.
    this.#disconnectedAt = timer.monotonicNow();
  }

  /** Records whether the store is reachable. */
  track(isReachable: boolean): void {
    const now = this.#timer.monotonicNow();
    if (!isReachable) {
      this.#disconnectedAt ??= now;
      return;
    }
    const wasLong = this.#disconnectedAt !== undefined &&
      now - this.#disconnectedAt > MIN_OUTAGE_MS;
    this.#disconnectedAt = undefined;
    if (!wasLong) return;
    this.#endedAt = now;
    this.#endRevision = undefined;
  }

  /** Records that the store, which is reachable, has come to a revision. */
  recordRevision(revision: number): void {
    this.#endRevision ??= revision;
  }

  /**
   * Returns the end of the outage in which an entry may have lapsed that is
   * missing now, in ms; undefined if it was removed. `revision` is that of the
   * entry: whoever has written after the outage reaches the store.
   */
  lapsedBy(revision: number): number | undefined {
    const sinceEndMs = this.#timer.monotonicNow() - this.#endedAt;
    if (sinceEndMs >= LEASE_EXPIRY_WINDOW_MS) return undefined;
    const isWrittenLater = this.#endRevision !== undefined &&
      revision > this.#endRevision;
    return isWrittenLater ? undefined : this.#endedAt;
  }
}
