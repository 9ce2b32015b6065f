/** A request that has crashed this many upstreams is not run any more. */
const QUARANTINE_CRASHES = 3;
/** A crash counts for this long, or as long as a later one of its request. */
const RETENTION_MS = 120_000;
/** An expired record is kept for this long, to recognise late reports. */
const LATE_REPORT_MS = 10_000;
/** Requests that are tracked at a time. */
const MAX_RECORDS = 4_096;
/** Records that are left when the limit is exceeded. */
const RECORDS_AFTER_EVICTION = 3_072;
/** Crashes that are kept of one request. */
const MAX_CRASHES = 16;
/** Older crashes are of no use to anybody. */
const MAX_AGE_MS = MAX_CRASHES * RETENTION_MS;
/** Crashes that siblings are told of at once. */
const MAX_REPORTS = 256;

/** A request has crashed an upstream. */
export interface CrashReport {
  fingerprint: string;
  /** Key of the process that crashed. */
  upstream: string;
  /** Time since the crash, in ms. */
  ageMs: number;
}

/** Monotonic times of the crashes of one request, by upstream. */
type CrashRecord = Map<string, number>;

/**
 * Tracks requests that crashed their upstreams, by request fingerprint. What it
 * knows depends on the crashes only, and not on the order, the number or the
 * ways of their reports.
 */
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
  recordCrash(report: CrashReport, now: number): boolean {
    const { fingerprint, upstream, ageMs } = report;
    if (ageMs > MAX_AGE_MS) return false;
    const at = now - ageMs;
    const known = this.#records.get(fingerprint);
    const knownAt = known?.get(upstream);
    if (known && knownAt !== undefined) {
      // A report is older than it says by the time that it was under way.
      known.set(upstream, Math.min(knownAt, at));
      return false;
    }
    if (known && known.size >= MAX_CRASHES) return false;
    if (known) known.set(upstream, at);
    else this.#records.set(fingerprint, new Map([[upstream, at]]));
    this.#evict(now);
    return this.#records.has(fingerprint);
  }

  /** Returns whether the request has crashed too many upstreams to be run. */
  isQuarantined(fingerprint: string, now: number): boolean {
    const known = this.#records.get(fingerprint);
    if (!known) return false;
    return countingCrashes(known, now).length >= QUARANTINE_CRASHES;
  }

  /**
   * Returns the crashes that siblings must know of, those of quarantined
   * requests first. Their number is bounded.
   */
  reports(now: number): CrashReport[] {
    return this.#byImportance(now)
      .flatMap(({ fingerprint, crashes }) =>
        crashes.slice(0, QUARANTINE_CRASHES).map(({ upstream, at }) => ({
          fingerprint,
          upstream,
          ageMs: Math.max(0, now - at),
        }))
      )
      .slice(0, MAX_REPORTS);
  }

  /** Evicts expired records. */
  sweep(now: number): void {
    for (const [fingerprint, it] of this.#records) {
      if (countingCrashes(it, now - LATE_REPORT_MS).length > 0) continue;
      this.#records.delete(fingerprint);
    }
  }

  #evict(now: number): void {
    if (this.#records.size <= MAX_RECORDS) return;
    const evicted = this.#byImportance(now).slice(RECORDS_AFTER_EVICTION);
    for (const { fingerprint } of evicted) this.#records.delete(fingerprint);
  }

  /** Returns requests that have crashed more upstreams, or later, first. */
  #byImportance(now: number): TrackedRequest[] {
    const requests = [...this.#records].map(([fingerprint, it]) => ({
      fingerprint,
      crashes: countingCrashes(it, now),
    }));
    return requests.sort((a, b) =>
      levelOf(b) - levelOf(a) || newestAt(b) - newestAt(a)
    );
  }
}

/** A request with those of its crashes that count, the newest first. */
interface TrackedRequest {
  fingerprint: string;
  crashes: Crash[];
}

interface Crash {
  upstream: string;
  /** Monotonic time in ms. */
  at: number;
}

/** Returns the crashes that count at a time, the newest first. */
function countingCrashes(record: CrashRecord, now: number): Crash[] {
  const crashes = [...record].map(([upstream, at]) => ({ upstream, at }));
  crashes.sort((a, b) => b.at - a.at || (a.upstream < b.upstream ? -1 : 1));
  let laterAt = now;
  const end = crashes.findIndex(({ at }) => {
    const isExpired = laterAt - at > RETENTION_MS;
    laterAt = at;
    return isExpired;
  });
  return end < 0 ? crashes : crashes.slice(0, end);
}

/** Crashes of a request as far as they matter. */
function levelOf({ crashes }: TrackedRequest): number {
  return Math.min(crashes.length, QUARANTINE_CRASHES);
}

function newestAt({ crashes }: TrackedRequest): number {
  return crashes[0]?.at ?? 0;
}
