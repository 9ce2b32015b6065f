import type { WorkKind } from "./work.ts";

/** What the table and the host list say of an upstream. */
export interface UpstreamInfo {
  name: string;
  kind: WorkKind;
  dataCentre: string;
  /** Models or routes it serves. */
  serves: readonly string[];
  /** Calls that it runs well at once. */
  capacity: number;
  /** False while it is leaving or drained. */
  accepting: boolean;
}

/** Load of an upstream as it reported it, some time ago. */
export interface LoadReport {
  /** Time of the sample in ms since the epoch. */
  at: number;
  running: number;
  waiting: number;
  /** Prompt tokens queued or in computation. */
  prefillTokens: number;
  cacheUsedTokens: number;
  cacheLimitTokens: number;
}

/** A call that this daemon has sent. */
export interface Send {
  id: string;
  program: string;
  uncachedTokens: number;
  outputTokens: number;
  sentAt: number;
  finishedAt: number | undefined;
}

/** Finished sends are kept this long to correct reports that lag. */
const FINISHED_KEPT_MS = 2_000;

/** Everything one daemon knows of an upstream. */
export class UpstreamState {
  info: UpstreamInfo;
  report: LoadReport | undefined;
  /** Not to be used before this time, after a failure. */
  downUntil = 0;
  /** Place in the list of calls not yet finished, by id. */
  readonly active = new Map<string, Send>();
  #finished: Send[] = [];

  constructor(info: UpstreamInfo) {
    this.info = info;
  }

  /** Whether new work may be sent. */
  isAccepting(now: number): boolean {
    return this.info.accepting && now >= this.downUntil;
  }

  /** Notes a call that is sent now. */
  sent(send: Send): void {
    this.active.set(send.id, send);
  }

  /** Notes that a call has ended. */
  finished(id: string, now: number): Send | undefined {
    const send = this.active.get(id);
    if (!send) return undefined;
    this.active.delete(id);
    send.finishedAt = now;
    this.#finished = this.#finished.filter((it) => isRecent(it, now));
    this.#finished.push(send);
    return send;
  }

  /**
   * Calls in progress: those the last report shows that are not this daemon's,
   * and this daemon's own.
   */
  inFlight(): number {
    return this.active.size + this.#othersInFlight();
  }

  /** Free places, negative when more is in progress than it runs well. */
  room(): number {
    return this.info.capacity - this.inFlight();
  }

  /** Tokens in cache memory: as reported, and what was sent since. */
  cacheTokens(): number {
    let own = 0;
    const since = this.report?.at ?? 0;
    for (const send of this.active.values()) {
      if (send.sentAt > since) own += send.uncachedTokens + send.outputTokens;
    }
    return own + (this.report?.cacheUsedTokens ?? 0);
  }

  /**
   * Prompt tokens that wait before a new call: what was reported and sent
   * since, less what was computed in the time between.
   */
  queuedPrefillTokens(now: number, msPerToken: number): number {
    let queued = this.report?.prefillTokens ?? 0;
    let at = this.report?.at ?? 0;
    for (const send of this.active.values()) {
      if (send.sentAt <= at) continue;
      queued = drained(queued, (send.sentAt - at) / msPerToken);
      queued += send.uncachedTokens;
      at = send.sentAt;
    }
    return drained(queued, (now - at) / msPerToken);
  }

  #othersInFlight(): number {
    if (!this.report) return 0;
    const { at, running, waiting } = this.report;
    let own = 0;
    for (const send of this.active.values()) {
      if (send.sentAt <= at) own += 1;
    }
    for (const send of this.#finished) {
      if (send.sentAt <= at && (send.finishedAt ?? 0) > at) own += 1;
    }
    return Math.max(0, running + waiting - own);
  }
}

function isRecent(send: Send, now: number): boolean {
  return now - (send.finishedAt ?? now) < FINISHED_KEPT_MS;
}

function drained(queued: number, computed: number): number {
  return Math.max(0, queued - computed);
}
