import type { Logger } from "@toucantrestle/log";
import type {
  NoticeChange,
  ReceivedNotice,
  UpstreamEntry,
  UpstreamNotices,
} from "@toucantrestle/routing";
import type { Timer } from "@toucantrestle/timer";
import type { ResponseHead } from "@toucantrestle/upstream_channel";
import type { Protocol } from "./protocol.ts";
import {
  fromSharedNotice,
  type SharedNotice,
  toSharedNotice,
} from "./shared_notice.ts";

/** Options of `NoticeReader`. */
export interface NoticeReaderOptions {
  protocol: Protocol;
  notices: UpstreamNotices;
  timer: Timer;
  /** Called with a notice from a response that has something new. */
  onNews: (notice: SharedNotice) => void;
  log: Logger;
}

/** Siblings are told what was heard this recently. */
const NEWS_WINDOW_MS = 10_000;
/** An upstream that leaves may go on for long, and gets no calls to say more. */
const LEAVING_WINDOW_MS = 60_000;

const CHANGE_TEXTS: Record<NoticeChange, string> = {
  limited: "limits its requests",
  unlimited: "limits its requests no longer",
  leaving: "says that it is leaving",
};

/** Reads what upstreams say about themselves in the heads of responses. */
export class NoticeReader {
  readonly #opts: NoticeReaderOptions;

  constructor(opts: NoticeReaderOptions) {
    this.#opts = opts;
  }

  /**
   * Records the notice in a response. One without an upstream's mark is heeded
   * only if it says that the upstream is leaving.
   */
  read(entry: UpstreamEntry, head: ResponseHead): void {
    const { protocol, notices, timer } = this.#opts;
    const isFromUpstream = protocol.hasUpstreamMark(head) ||
      protocol.isDeclined(head);
    const { isLeaving, maxRequestsPerS } = protocol.parseNotice(head);
    if (!isFromUpstream && !isLeaving) return;
    const now = timer.monotonicNow();
    const notice: ReceivedNotice = {
      isLeaving,
      maxRequestsPerS: isFromUpstream
        ? maxRequestsPerS
        : notices.maxRequestsPerS(entry),
      upstream: entry.id,
      startedAt: entry.startedAt,
      at: now,
    };
    if (this.#record(notice)) this.#opts.onNews(toSharedNotice(notice, now));
  }

  /**
   * Records a sibling's notice. Returns whether it has something new; false if
   * it is not usable.
   */
  merge(shared: SharedNotice | undefined): boolean {
    const { timer, log } = this.#opts;
    const notice = fromSharedNotice(shared, timer.monotonicNow());
    if (notice) return this.#record(notice);
    log.warn("a sibling's notice of an upstream is malformed; ignored");
    return false;
  }

  /** Returns the recent news for the siblings. */
  recentNews(): SharedNotice[] {
    const now = this.#opts.timer.monotonicNow();
    return this.#opts.notices.newsSince(now - LEAVING_WINDOW_MS)
      .filter((it) => it.isLeaving || now - it.at <= NEWS_WINDOW_MS)
      .map((it) => toSharedNotice(it, now));
  }

  #record(notice: ReceivedNotice): boolean {
    const changes = this.#opts.notices.record(notice);
    for (const change of changes) {
      this.#opts.log.info(
        `upstream ${notice.upstream} ${CHANGE_TEXTS[change]}`,
        {
          event: change,
          upstream: notice.upstream,
          maxRequestsPerS: notice.maxRequestsPerS,
        },
      );
    }
    return changes.length > 0;
  }
}
