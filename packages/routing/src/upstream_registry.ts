import {
  isSameProcess,
  type UpstreamEntry,
  type UpstreamProcess,
} from "./upstream_entry.ts";
import { UpstreamNotices } from "./upstream_notices.ts";

/** Running requests of an upstream and prompt tokens waiting for prefill. */
export interface UpstreamLoad {
  running: number;
  prefillTokens: number;
}

/** Load as a front reports it. */
export interface ReportedLoad extends UpstreamLoad {
  /**
   * Start time of the upstream's process, in ms since the epoch; missing from
   * fronts of earlier builds.
   */
  startedAt?: number;
}

/** A load that a sibling has reported, and for which process of an upstream. */
interface ReceivedLoad {
  load: UpstreamLoad;
  startedAt: number;
  at: number;
}

/** State that this process tracks for an upstream. */
export interface TrackedUpstream {
  entry: UpstreamEntry;
  /** Time since which the entry is missing; undefined while it is present. */
  missingSince: number | undefined;
  /** Whether the entry was replaced by one that names no usable upstream. */
  isSuspended: boolean;
  /**
   * Whether the entry is that of an earlier process, with the start time of the
   * present one: its own has not been read yet.
   */
  isInferred: boolean;
  /** End of the backoff after a failure; the upstream gets no work before. */
  backoffUntil: number;
  consecutiveFailures: number;
  /** Load of the in-flight requests that this process has sent. */
  localLoad: UpstreamLoad;
  /** Loads reported by siblings, by host. */
  siblingLoads: Map<string, ReceivedLoad>;
  /** Total load of all siblings, as one of them returned it. */
  queriedLoad: ReceivedLoad | undefined;
  /** Smoothed ratio of its durations to the mean of all; 1 if equal. */
  latencyRatio: number;
  latencyRatioAt: number;
}

/**
 * An entry that may only have expired during a store outage is used for this
 * long after it went missing.
 */
const MISSING_GRACE_MS = 2_200;
const INITIAL_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 4_000;
/** A sibling's load report is ignored after this time. */
const LOAD_REPORT_TTL_MS = 1_500;
/** A queried load is used for this long; it changes with each request. */
const QUERIED_LOAD_TTL_MS = 500;
const LATENCY_RATIO_SMOOTHING = 0.2;
const MAX_LATENCY_RATIO = 12;
/**
 * Half-life of the decay of a latency ratio to 1. A slow upstream gets work
 * again after some time, which yields new measurements.
 */
const LATENCY_RATIO_HALF_LIFE_MS = 3_000;
const MEAN_SMOOTHING = 0.03;

/** Tracks all upstreams by id. Times are in ms on the monotonic clock. */
export class UpstreamRegistry {
  /** What the upstreams have said about themselves in responses. */
  readonly notices = new UpstreamNotices();
  readonly #upstreams = new Map<string, TrackedUpstream>();
  readonly #meanMs = new Map<string, number>();
  readonly #onInstanceGone: (id: string) => void;

  constructor(opts: { onInstanceGone: (id: string) => void }) {
    this.#onInstanceGone = opts.onInstanceGone;
  }

  get(id: string): TrackedUpstream | undefined {
    return this.#upstreams.get(id);
  }

  /** Whether a process of an upstream is the one that its entry names. */
  isCurrent(process: UpstreamProcess): boolean {
    const known = this.#upstreams.get(process.id);
    return known !== undefined && isSameProcess(known.entry, process);
  }

  all(): TrackedUpstream[] {
    return [...this.#upstreams.values()];
  }

  /**
   * Adds or updates an upstream from its entry in the store. Ignores an entry
   * of an earlier start. Returns the kind of change; undefined for any other.
   */
  put(entry: UpstreamEntry): "new" | "restarted" | "draining" | undefined {
    const known = this.#upstreams.get(entry.id);
    if (!known) {
      this.#upstreams.set(entry.id, createUpstream(entry));
      return "new";
    }
    const before = known.entry;
    const isOutdated = entry.startedAt < before.startedAt;
    if (isOutdated && !known.isInferred) return undefined;
    known.entry = entry;
    known.missingSince = undefined;
    known.isSuspended = false;
    known.isInferred = false;
    if (entry.startedAt === before.startedAt) {
      // The software of a process does not change while it runs.
      const softwareVersion = entry.softwareVersion ?? before.softwareVersion;
      known.entry = { ...entry, softwareVersion };
    }
    if (entry.startedAt > before.startedAt) {
      this.#onInstanceGone(entry.id);
      Object.assign(known, {
        ...createState(),
        siblingLoads: known.siblingLoads,
      });
      return "restarted";
    }
    return entry.isDraining && !before.isDraining ? "draining" : undefined;
  }

  /**
   * Records that a later process of an upstream has been heard of before its
   * entry was read. Nothing that is known of the earlier process holds for it.
   * An entry that is read later goes before this. Returns whether it is new.
   */
  recordRestart(
    { id, startedAt }: UpstreamProcess,
    softwareVersion?: string,
  ): boolean {
    const known = this.#upstreams.get(id);
    if (!known || startedAt <= known.entry.startedAt) return false;
    const { missingSince, isSuspended, siblingLoads } = known;
    this.#onInstanceGone(id);
    Object.assign(known, {
      ...createState(),
      entry: {
        ...known.entry,
        startedAt,
        softwareVersion,
        isDraining: false,
        coldLeftMs: 0,
      },
      missingSince,
      isSuspended,
      siblingLoads,
      isInferred: true,
    });
    return true;
  }

  /** Removes an upstream whose entry was deleted. */
  remove(id: string): void {
    if (!this.#upstreams.delete(id)) return;
    this.#onInstanceGone(id);
  }

  /**
   * Offers an upstream no new requests until its next usable entry, but keeps
   * its state. Returns whether that is new.
   */
  suspend(id: string): boolean {
    const known = this.#upstreams.get(id);
    if (!known || known.isSuspended) return false;
    known.isSuspended = true;
    known.missingSince = undefined;
    return true;
  }

  /**
   * Marks an upstream as missing whose entry may only have expired. It stays in
   * use for a grace period.
   */
  markMissing(id: string, now: number): void {
    const known = this.#upstreams.get(id);
    if (known) known.missingSince ??= now;
  }

  /** Removes upstreams whose grace period has ended and returns their ids. */
  sweep(now: number): string[] {
    const removed: string[] = [];
    for (const [id, known] of this.#upstreams) {
      if (known.missingSince === undefined) continue;
      if (now - known.missingSince < MISSING_GRACE_MS) continue;
      this.remove(id);
      removed.push(id);
    }
    return removed;
  }

  /** Returns the upstreams of a service that accept new requests. */
  candidates(service: string, now: number): TrackedUpstream[] {
    return this.acceptingOf(service).filter((it) => now >= it.backoffUntil);
  }

  /** Returns the upstreams of a service that are in use, also in a backoff. */
  acceptingOf(service: string): TrackedUpstream[] {
    const accepting: TrackedUpstream[] = [];
    for (const it of this.#upstreams.values()) {
      if (it.entry.service !== service || !this.acceptsRequests(it)) continue;
      accepting.push(it);
    }
    return accepting;
  }

  /** Whether an upstream takes new requests as far as it and its entry say. */
  acceptsRequests({ entry, isSuspended }: TrackedUpstream): boolean {
    return !isSuspended && !entry.isDraining && !this.notices.isLeaving(entry);
  }

  /**
   * Whether the process that a choice fell on is still the current one and
   * takes new requests.
   */
  mayReceive(process: UpstreamProcess): boolean {
    const known = this.#current(process);
    return known !== undefined && this.acceptsRequests(known);
  }

  /** Entries of the upstreams of these services that take new requests. */
  accepting(hasService: (service: string) => boolean): UpstreamEntry[] {
    return this.all()
      .filter((it) => this.acceptsRequests(it) && hasService(it.entry.service))
      .map((it) => it.entry);
  }

  /** Ends all backoffs, for instance because their cause was another one. */
  clearBackoffs(): void {
    for (const known of this.#upstreams.values()) {
      known.backoffUntil = 0;
      known.consecutiveFailures = 0;
    }
  }

  /**
   * Records a failure of an upstream that is likely to affect other requests,
   * and starts a backoff that doubles with each consecutive failure.
   */
  recordFailure(process: UpstreamProcess, now: number): void {
    const known = this.#current(process);
    if (!known) return;
    known.consecutiveFailures += 1;
    const backoffMs = INITIAL_BACKOFF_MS * 2 ** (known.consecutiveFailures - 1);
    known.backoffUntil = now + Math.min(MAX_BACKOFF_MS, backoffMs);
  }

  /** Resets the failure count of an upstream. */
  recordSuccess(process: UpstreamProcess): void {
    const known = this.#current(process);
    if (known) known.consecutiveFailures = 0;
  }

  /** Records the duration of one kind of work on an upstream, in ms. */
  recordDuration(
    process: UpstreamProcess,
    kind: string,
    ms: number,
    now: number,
  ): void {
    const mean = this.#meanMs.get(kind) ?? ms;
    this.#meanMs.set(kind, mean + MEAN_SMOOTHING * (ms - mean));
    const known = this.#current(process);
    if (!known || mean <= 0) return;
    const ratio = Math.min(MAX_LATENCY_RATIO, ms / mean);
    const before = this.latencyRatioOf(known, now);
    known.latencyRatio = before + LATENCY_RATIO_SMOOTHING * (ratio - before);
    known.latencyRatioAt = now;
  }

  /** Returns the moving mean duration of a kind of work, in ms. */
  meanMs(kind: string): number | undefined {
    return this.#meanMs.get(kind);
  }

  /** Returns the latency ratio of an upstream, decayed towards 1 by its age. */
  latencyRatioOf(known: TrackedUpstream, now: number): number {
    const age = Math.max(0, now - known.latencyRatioAt);
    const decay = 0.5 ** (age / LATENCY_RATIO_HALF_LIFE_MS);
    return 1 + (known.latencyRatio - 1) * decay;
  }

  /** Records a sibling's report of its in-flight load for one upstream. */
  recordSiblingLoad(
    host: string,
    id: string,
    load: ReportedLoad,
    now: number,
  ): void {
    const known = this.#upstreams.get(id);
    const received = known && toReceived(known, load, now);
    if (!received) return;
    // A load of a later process is kept until its entry arrives.
    const before = known.siblingLoads.get(host);
    if (before && before.startedAt > received.startedAt) return;
    if (load.running > 0) known.siblingLoads.set(host, received);
    else known.siblingLoads.delete(host);
  }

  /** Records the total load of all siblings for one upstream. */
  recordQueriedLoad(id: string, load: ReportedLoad, now: number): void {
    const known = this.#upstreams.get(id);
    const received = known && toReceived(known, load, now);
    if (received) known.queriedLoad = received;
  }

  /** Returns the load from this process and all siblings, as far as known. */
  loadOf(known: TrackedUpstream, now: number): UpstreamLoad {
    const queried = known.queriedLoad;
    const isQueryRecent = queried &&
      queried.startedAt === known.entry.startedAt &&
      now - queried.at <= QUERIED_LOAD_TTL_MS;
    if (!isQueryRecent) return this.#sumLoads(known, now, undefined);
    return {
      running: known.localLoad.running + queried.load.running,
      prefillTokens: known.localLoad.prefillTokens +
        queried.load.prefillTokens,
    };
  }

  /** Returns the load of all fronts but one, from their own reports. */
  loadWithout(
    host: string,
    id: string,
    now: number,
  ): UpstreamLoad | undefined {
    const known = this.#upstreams.get(id);
    return known && this.#sumLoads(known, now, host);
  }

  /** Returns the state of a process, unless a later one has replaced it. */
  #current(process: UpstreamProcess): TrackedUpstream | undefined {
    const known = this.#upstreams.get(process.id);
    return known && isSameProcess(known.entry, process) ? known : undefined;
  }

  #sumLoads(
    known: TrackedUpstream,
    now: number,
    excludedHost: string | undefined,
  ): UpstreamLoad {
    let { running, prefillTokens } = known.localLoad;
    for (const [host, { load, startedAt, at }] of known.siblingLoads) {
      if (startedAt !== known.entry.startedAt) continue;
      if (host === excludedHost || now - at > LOAD_REPORT_TTL_MS) continue;
      running += load.running;
      prefillTokens += load.prefillTokens;
    }
    return { running, prefillTokens };
  }
}

/** Returns a reported load; undefined if it is of an earlier process. */
function toReceived(
  { entry }: TrackedUpstream,
  { startedAt = entry.startedAt, ...load }: ReportedLoad,
  at: number,
): ReceivedLoad | undefined {
  return startedAt < entry.startedAt ? undefined : { load, startedAt, at };
}

function createUpstream(entry: UpstreamEntry): TrackedUpstream {
  return { entry, ...createState() };
}

/** State of an upstream of whose process nothing is known yet. */
function createState(): Omit<TrackedUpstream, "entry"> {
  return {
    missingSince: undefined,
    isSuspended: false,
    isInferred: false,
    backoffUntil: 0,
    consecutiveFailures: 0,
    localLoad: { running: 0, prefillTokens: 0 },
    siblingLoads: new Map(),
    queriedLoad: undefined,
    latencyRatio: 1,
    latencyRatioAt: 0,
  };
}
