import type { WorkKind } from "./work.ts";

/** Properties of an upstream from the table and the host list. */
export interface UpstreamInfo {
  name: string;
  kind: WorkKind;
  dataCentre: string;
  /** Models or routes that the upstream serves. */
  serves: readonly string[];
  /** Number of concurrent calls that the upstream handles efficiently. */
  capacity: number;
  /** False while the upstream is leaving or being drained. */
  accepting: boolean;
}

/** Load of an upstream as of its latest report, which may be stale. */
export interface LoadReport {
  /** Time of the sample in ms since the epoch. */
  at: number;
  running: number;
  waiting: number;
  /** Prompt tokens that are queued or being computed. */
  prefillTokens: number;
  cacheUsedTokens: number;
  cacheLimitTokens: number;
}

/** A call that this daemon sent to an upstream. */
export interface SentCall {
  id: string;
  program: string;
  uncachedTokens: number;
  outputTokens: number;
  sentAt: number;
  finishedAt: number | undefined;
}

/**
 * Retention of finished calls. They are needed to interpret load reports that
 * were sampled before the calls finished.
 */
const FINISHED_RETENTION_MS = 2_000;

/** State of an upstream as known to this daemon. */
export class UpstreamState {
  info: UpstreamInfo;
  report: LoadReport | undefined;
  /** Time before which no new calls are sent, set after a failure. */
  downUntil = 0;
  /** Calls of this daemon that are in flight, by id. */
  readonly active = new Map<string, SentCall>();
  #finished: SentCall[] = [];

  constructor(info: UpstreamInfo) {
    this.info = info;
  }

  /** Whether new calls may be sent. */
  isAccepting(now: number): boolean {
    return this.info.accepting && now >= this.downUntil;
  }

  /** Records a call that is being sent. */
  recordSent(call: SentCall): void {
    this.active.set(call.id, call);
  }

  /** Records that a call has finished. */
  recordFinished(id: string, now: number): SentCall | undefined {
    const call = this.active.get(id);
    if (!call) return undefined;
    this.active.delete(id);
    call.finishedAt = now;
    this.#finished = this.#finished.filter((it) => isRetained(it, now));
    this.#finished.push(call);
    return call;
  }

  /**
   * Returns the number of calls in flight: this daemon's own, plus the calls
   * of other daemons according to the last report.
   */
  inFlight(): number {
    return this.active.size + this.#foreignInFlight();
  }

  /** Returns the number of free slots; negative if the capacity is exceeded. */
  freeSlots(): number {
    return this.info.capacity - this.inFlight();
  }

  /** Returns the tokens in cache memory: as reported, plus what was sent since. */
  cacheTokens(): number {
    let sent = 0;
    const since = this.report?.at ?? 0;
    for (const call of this.active.values()) {
      if (call.sentAt > since) sent += call.uncachedTokens + call.outputTokens;
    }
    return sent + (this.report?.cacheUsedTokens ?? 0);
  }

  /**
   * Returns the estimated prompt tokens queued ahead of a new call: the reported
   * tokens plus those sent since, less those computed in the meantime.
   */
  queuedPrefillTokens(now: number, msPerToken: number): number {
    let queued = this.report?.prefillTokens ?? 0;
    let at = this.report?.at ?? 0;
    for (const call of this.active.values()) {
      if (call.sentAt <= at) continue;
      queued = subtractComputed(queued, (call.sentAt - at) / msPerToken);
      queued += call.uncachedTokens;
      at = call.sentAt;
    }
    return subtractComputed(queued, (now - at) / msPerToken);
  }

  #foreignInFlight(): number {
    if (!this.report) return 0;
    const { at, running, waiting } = this.report;
    let ownCount = 0;
    for (const call of this.active.values()) {
      if (call.sentAt <= at) ownCount += 1;
    }
    for (const call of this.#finished) {
      if (call.sentAt <= at && (call.finishedAt ?? 0) > at) ownCount += 1;
    }
    return Math.max(0, running + waiting - ownCount);
  }
}

function isRetained(call: SentCall, now: number): boolean {
  return now - (call.finishedAt ?? now) < FINISHED_RETENTION_MS;
}

function subtractComputed(queued: number, computed: number): number {
  return Math.max(0, queued - computed);
}
