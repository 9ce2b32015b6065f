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

/** Keeps the newest notice of each upstream. Times are monotonic, in ms. */
export class UpstreamNotices {
  readonly #received = new Map<string, ReceivedNotice>();

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
    this.#received.set(notice.upstream, { ...newest, isLeaving });
    return changesBetween(before, { ...newest, isLeaving });
  }

  /** Whether the process of an entry has said that it is leaving. */
  isLeaving({ id, startedAt }: UpstreamEntry): boolean {
    const known = this.#received.get(id);
    return known?.isLeaving === true && known.startedAt >= startedAt;
  }

  /** Returns the limit of an upstream, in requests per second, if it has one. */
  maxRequestsPerS(id: string): number | undefined {
    return this.#received.get(id)?.maxRequestsPerS;
  }

  /** Returns the notices that were received at or after a time. */
  receivedSince(since: number): ReceivedNotice[] {
    return [...this.#received.values()].filter((it) => it.at >= since);
  }

  /** Drops notices of upstreams that were not heard for a long time. */
  sweep(now: number): void {
    for (const [id, { at }] of this.#received) {
      if (now - at > RETENTION_MS) this.#received.delete(id);
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
