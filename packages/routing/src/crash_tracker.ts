/** A request that has crashed more upstreams than this is refused. */
const MAX_CRASHES = 2;
/** Crash records are evicted after this time. */
const RETENTION_MS = 120_000;

interface CrashRecord {
  upstreams: Set<string>;
  at: number;
}

/** Tracks requests that crashed their upstreams, by request fingerprint. */
export class CrashTracker {
  readonly #records = new Map<string, CrashRecord>();

  /** Whether no crash is known, so that no request is quarantined. */
  get isEmpty(): boolean {
    return this.#records.size === 0;
  }

  /**
   * Records that an upstream crashed while it ran the request. `upstream` is the
   * key of its process, so that crashes of a restarted upstream count apart.
   * Returns whether this was not known yet.
   */
  recordCrash(fingerprint: string, upstream: string, now: number): boolean {
    const known = this.#records.get(fingerprint);
    const upstreams = known?.upstreams ?? new Set<string>();
    // Siblings forward crash records to each other. Refreshing the timestamp of
    // a known crash would keep the record from ever expiring.
    if (upstreams.has(upstream)) return false;
    upstreams.add(upstream);
    this.#records.set(fingerprint, { upstreams, at: now });
    return true;
  }

  /** Returns whether the request has crashed too many upstreams to be run. */
  isQuarantined(fingerprint: string, now: number): boolean {
    const known = this.#records.get(fingerprint);
    if (!known || now - known.at > RETENTION_MS) return false;
    return known.upstreams.size > MAX_CRASHES;
  }

  /** Returns the crashes recorded since `since`, to be sent to siblings. */
  crashesSince(since: number): { fingerprint: string; upstreams: string[] }[] {
    return [...this.#records]
      .filter(([, it]) => it.at >= since)
      .map(([fingerprint, it]) => ({
        fingerprint,
        upstreams: [...it.upstreams],
      }));
  }

  /** Evicts expired records. */
  sweep(now: number): void {
    for (const [fingerprint, it] of this.#records) {
      if (now - it.at > RETENTION_MS) this.#records.delete(fingerprint);
    }
  }
}
