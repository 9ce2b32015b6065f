import type { GossipMessage } from "./gossip.ts";
import type { Report } from "./report_table.ts";

/** Reports and news that wait for one neighbour. */
export class Outbox<State, News> {
  /** Versions that the neighbour has or will get, by host. */
  readonly #knownVersions = new Map<string, number>();
  readonly #reports = new Map<string, Report<State>>();
  #news: News[] = [];

  get isEmpty(): boolean {
    return this.#reports.size === 0 && this.#news.length === 0;
  }

  /** Adds a report unless the neighbour has it. */
  addReport(report: Report<State>): void {
    if (this.#isKnown(report)) return;
    this.#reports.set(report.host, report);
  }

  addNews(news: News): void {
    this.#news.push(news);
  }

  /** Records that the neighbour itself has sent a report. */
  recordKnown(report: Report<State>): void {
    if (!this.#isKnown(report)) {
      this.#knownVersions.set(report.host, report.version);
    }
    const waiting = this.#reports.get(report.host);
    if (waiting && this.#isKnown(waiting)) this.#reports.delete(report.host);
  }

  /** Removes and returns all that waits. */
  take(): GossipMessage<State, News> {
    const reports = [...this.#reports.values()];
    const news = this.#news;
    for (const { host, version } of reports) {
      this.#knownVersions.set(host, version);
    }
    this.#reports.clear();
    this.#news = [];
    return { reports, news };
  }

  #isKnown({ host, version }: Report<State>): boolean {
    return (this.#knownVersions.get(host) ?? -Infinity) >= version;
  }
}
