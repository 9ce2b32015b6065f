import { setNewest } from "@toucantrestle/policy";
import type { UpstreamEntry } from "./upstream_entry.ts";

/** What an upstream says about itself in the head of a response. */
export interface UpstreamNotice {
  /** Requests per second that it takes from all fronts; undefined: no limit. */
  maxRequestsPerS: number | undefined;
  /** Whether it will stop soon and should get no new requests. */
  isLeaving: boolean;
}

/** The newest notice of one upstream, with the time at which it was received. */
export interface ReceivedNotice extends UpstreamNotice {
  upstream: string;
  /** Start time of the upstream's process, in ms since the epoch. */
  startedAt: number;
  /** Monotonic time, in ms. */
  at: number;
}

/** Kind of news in a notice. */
export type NoticeChange = "limited" | "unlimited" | "leaving";

/** Notices of upstreams that were not heard for this long are dropped. */
const RETENTION_MS = 600_000;
/** Upstreams of which notices are kept; siblings may name any. */
const MAX_UPSTREAMS = 20_000;

/** Keeps the newest notice of each upstream. Times are monotonic, in ms. */
export class UpstreamNotices {
  readonly #received = new Map<string, ReceivedNotice>();
  /** Upstreams that were limited or leaving at some time. */
  readonly #notable = new Set<string>();

  /**
   * Records a notice and returns what is new in it. A notice older than the
   * known one is ignored, and so is one of an earlier start of the process.
   */
  record(notice: ReceivedNotice): NoticeChange[] {
    const known = this.#received.get(notice.upstream);
    const isSameProcess = known?.startedAt === notice.startedAt;
    if (known && known.startedAt > notice.startedAt) return [];
    const before = isSameProcess ? known : undefined;
    const isLate = before !== undefined && notice.at < before.at;
    const newest = isLate ? before : notice;
    const isLeaving = notice.isLeaving || before?.isLeaving === true;
    const kept = { ...newest, isLeaving };
    setNewest(this.#received, [notice.upstream, kept], MAX_UPSTREAMS);
    const changes = changesBetween(before, { ...newest, isLeaving });
    if (changes.length > 0) this.#notable.add(notice.upstream);
    return changes;
  }

  /** Returns the newest notice of an upstream since its process started. */
  get({ id, startedAt }: UpstreamEntry): ReceivedNotice | undefined {
    const known = this.#received.get(id);
    return known && known.startedAt >= startedAt ? known : undefined;
  }

  /** Whether an upstream has said that it is leaving. */
  isLeaving(upstream: UpstreamEntry): boolean {
    return this.get(upstream)?.isLeaving === true;
  }

  /** Returns the limit of an upstream, in requests per second, if it has one. */
  maxRequestsPerS(upstream: UpstreamEntry): number | undefined {
    return this.get(upstream)?.maxRequestsPerS;
  }

  /**
   * Returns the notices received at or after a time, of upstreams that were
   * limited or leaving at some time.
   */
  newsSince(since: number): ReceivedNotice[] {
    return [...this.#received.values()].filter((it) =>
      it.at >= since && this.#notable.has(it.upstream)
    );
  }

  /** Drops notices of upstreams that were not heard for a long time. */
  sweep(now: number): void {
    for (const [id, { at }] of this.#received) {
      if (now - at > RETENTION_MS) this.#received.delete(id);
    }
    for (const id of this.#notable) {
      if (!this.#received.has(id)) this.#notable.delete(id);
    }
  }
}

function changesBetween(
  before: ReceivedNotice | undefined,
  after: ReceivedNotice,
): NoticeChange[] {
  const changes: NoticeChange[] = [];
  if (before?.maxRequestsPerS !== after.maxRequestsPerS) {
    const isLimited = after.maxRequestsPerS !== undefined;
    changes.push(isLimited ? "limited" : "unlimited");
  }
  if (after.isLeaving && !before?.isLeaving) changes.push("leaving");
  return changes;
}
