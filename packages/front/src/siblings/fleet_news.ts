import type { CrashTracker } from "@toucantrestle/routing";
import type { Logger } from "@toucantrestle/log";
import type { Timer } from "@toucantrestle/timer";
import type { ConfigWatcher } from "../config_watcher.ts";
import type { NoticeReader } from "../notice_reader.ts";
import type { UpstreamWatcher } from "../upstream_watcher.ts";
import { type FrontNews, toNews } from "../protocol.ts";
import {
  readCrashNews,
  readSuccessNews,
  toCrashNews,
  toSuccessNews,
} from "./crash_news.ts";

/** Options of `FleetNews`. */
export interface FleetNewsOptions {
  configWatcher: ConfigWatcher;
  noticeReader: NoticeReader;
  crashTracker: CrashTracker;
  upstreamWatcher: UpstreamWatcher;
  timer: Timer;
  /** Called when a sibling has a newer configuration. */
  onNewerConfig: (version: number, from: string) => void;
  log: Logger;
}

type NewsHandlers = {
  [K in FrontNews["kind"]]: (
    news: Extract<FrontNews, { kind: K }>,
    from: string,
  ) => boolean;
};

/** Applies the news of siblings, and collects those for a new neighbour. */
export class FleetNews {
  readonly #opts: FleetNewsOptions;
  readonly #handlers: NewsHandlers;

  constructor(opts: FleetNewsOptions) {
    this.#opts = opts;
    this.#handlers = {
      // Passed on only after this front has it, as others fetch it from here.
      config: ({ version }, from) => {
        const isNewer = Number.isFinite(version) &&
          version > this.#configVersion;
        if (isNewer) opts.onNewerConfig(version, from);
        return false;
      },
      notice: ({ notice }) => opts.noticeReader.merge(notice),
      crash: (news) =>
        opts.crashTracker.recordCrash(
          readCrashNews(news),
          opts.timer.monotonicNow(),
        ),
      success: (news) =>
        opts.crashTracker.recordSuccess(
          readSuccessNews(news),
          opts.timer.monotonicNow(),
        ),
      upstream: ({ change }) => opts.upstreamWatcher.applyChange(change),
      suspended_upstream: ({ change }) =>
        opts.upstreamWatcher.applyChange(change),
    };
  }

  /** Applies news. Returns whether other siblings need them from this front. */
  apply(news: FrontNews, from: string): boolean {
    const handler = this.#handlers[news.kind] as
      | ((news: FrontNews, from: string) => boolean)
      | undefined;
    try {
      // News of a later build may be of an unknown kind.
      return handler?.(news, from) ?? false;
    } catch (err) {
      this.#opts.log.warn(
        `${news.kind} news of front ${from} are malformed: ${String(err)}`,
      );
      return false;
    }
  }

  /** Returns what a front that was out of touch may have missed. */
  recent(): FrontNews[] {
    const { noticeReader, crashTracker, upstreamWatcher, timer } = this.#opts;
    const now = timer.monotonicNow();
    return [
      { kind: "config", version: this.#configVersion },
      ...noticeReader.recentNews().map((notice) => ({
        kind: "notice" as const,
        notice,
      })),
      ...crashTracker.reports(now).map(toCrashNews),
      ...crashTracker.successes(now).map(toSuccessNews),
      ...upstreamWatcher.recentChanges().map(toNews),
    ];
  }

  get #configVersion(): number {
    return this.#opts.configWatcher.config?.version ?? -1;
  }
}
