/** A request that has crashed this many upstreams is not run any more. */
export const QUARANTINE_CRASHES = 3;
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
/** Crashes, and successes, that siblings are told of at once. */
const MAX_REPORTS = 256;

/** A request has crashed an upstream. */
export interface CrashReport {
  fingerprint: string;
  /** Key of the process that crashed. */
  upstream: string;
  /** Time since the crash, in ms. */
  ageMs: number;
}

/** An upstream has run a request that others may have crashed on. */
export interface SuccessReport {
  fingerprint: string;
  /** Time since the success, in ms. */
  ageMs: number;
}

/** What is known of one request. */
interface CrashRecord {
  /** Monotonic times of its crashes in ms, by upstream. */
  crashes: Map<string, number>;
  /** When it has last succeeded; earlier crashes had another cause. */
  succeededAt: number;
}

/**
 * Tracks requests that crashed their upstreams, by request fingerprint. What it
 * knows depends on the crashes and successes only, and not on the order, the
 * number or the ways of their reports.
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
    const { crashes } = this.#recordOf(fingerprint);
    const knownAt = crashes.get(upstream);
    if (knownAt !== undefined) {
      // A report is older than it says by the time that it was under way.
      crashes.set(upstream, Math.min(knownAt, at));
      return false;
    }
    if (crashes.size >= MAX_CRASHES) return false;
    crashes.set(upstream, at);
    this.#evict(now);
    return this.#records.has(fingerprint);
  }

  /**
   * Records that an upstream ran the request. Its crashes until then do not
   * count any more. Returns whether that changes something.
   */
  recordSuccess({ fingerprint, ageMs }: SuccessReport, now: number): boolean {
    if (ageMs > RETENTION_MS) return false;
    const isNew = !this.#records.has(fingerprint);
    const record = this.#recordOf(fingerprint);
    const countBefore = countingCrashes(record, now).length;
    record.succeededAt = Math.max(record.succeededAt, now - ageMs);
    const hasChanged = countingCrashes(record, now).length < countBefore;
    this.#evict(now);
    return (isNew || hasChanged) && this.#records.has(fingerprint);
  }

  /** Whether a crash of the request was reported. */
  isTracked(fingerprint: string): boolean {
    return this.#records.has(fingerprint);
  }

  /** Returns the upstreams that the request has crashed. */
  crashedUpstreams(fingerprint: string, now: number): string[] {
    const known = this.#records.get(fingerprint);
    if (!known) return [];
    return countingCrashes(known, now).map((it) => it.upstream);
  }

  /** Returns whether the request has crashed too many upstreams to be run. */
  isQuarantined(fingerprint: string, now: number): boolean {
    return this.crashedUpstreams(fingerprint, now).length >= QUARANTINE_CRASHES;
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

  /** Returns the successes that siblings must know of; their number is bounded. */
  successes(now: number): SuccessReport[] {
    return [...this.#records]
      .map(([fingerprint, { succeededAt }]) => ({
        fingerprint,
        ageMs: Math.max(0, now - succeededAt),
      }))
      .filter((it) => it.ageMs <= RETENTION_MS)
      .sort((a, b) => a.ageMs - b.ageMs)
      .slice(0, MAX_REPORTS);
  }

  /** Evicts expired records. */
  sweep(now: number): void {
    const since = now - RETENTION_MS - LATE_REPORT_MS;
    for (const [fingerprint, it] of this.#records) {
      if (changedAt(it) < since) this.#records.delete(fingerprint);
    }
  }

  #recordOf(fingerprint: string): CrashRecord {
    const known = this.#records.get(fingerprint);
    if (known) return known;
    const record = { crashes: new Map(), succeededAt: -Infinity };
    this.#records.set(fingerprint, record);
    return record;
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
  const crashes = [...record.crashes]
    .map(([upstream, at]) => ({ upstream, at }))
    .filter(({ at }) => at > record.succeededAt);
  crashes.sort((a, b) => b.at - a.at || (a.upstream < b.upstream ? -1 : 1));
  let laterAt = now;
  const end = crashes.findIndex(({ at }) => {
    const isExpired = laterAt - at > RETENTION_MS;
    laterAt = at;
    return isExpired;
  });
  return end < 0 ? crashes : crashes.slice(0, end);
}

/** When the last crash or success of a request was. */
function changedAt({ crashes, succeededAt }: CrashRecord): number {
  return Math.max(succeededAt, ...crashes.values());
}

/** Crashes of a request as far as they matter. */
function levelOf({ crashes }: TrackedRequest): number {
  return Math.min(crashes.length, QUARANTINE_CRASHES);
}

function newestAt({ crashes }: TrackedRequest): number {
  return crashes[0]?.at ?? 0;
}
