import type { Timer } from "@toucantrestle/timer";

/** Shortest time between two load reports, in ms. */
const MIN_REPORT_INTERVAL_MS = 50;
/**
 * Time between two load reports for each sibling, in ms. It bounds the reports
 * that a front sends and receives per second, however many fronts there are.
 */
const REPORT_INTERVAL_PER_SIBLING_MS = 8;
/** A load without changes is reported again after this time, in ms. */
const REFRESH_INTERVAL_MS = 600;

/** Options of `LoadReporter`. */
export interface LoadReporterOptions {
  timer: Timer;
  siblingCount: () => number;
  /** Sends the present load to all siblings. */
  report: () => void;
}

/** Reports changes of this front's load to its siblings at a bounded rate. */
export class LoadReporter {
  readonly #opts: LoadReporterOptions;
  #isScheduled = false;
  #reportedAt = -Infinity;

  constructor(opts: LoadReporterOptions) {
    this.#opts = opts;
    opts.timer.every(REFRESH_INTERVAL_MS, () => this.schedule());
  }

  /** Schedules a report; several changes are reported together. */
  schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    const { timer } = this.#opts;
    const elapsedMs = timer.monotonicNow() - this.#reportedAt;
    timer.after(Math.max(0, this.#intervalMs - elapsedMs), () => {
      this.#isScheduled = false;
      this.#reportedAt = timer.monotonicNow();
      this.#opts.report();
    });
  }

  get #intervalMs(): number {
    return Math.max(
      MIN_REPORT_INTERVAL_MS,
      REPORT_INTERVAL_PER_SIBLING_MS * this.#opts.siblingCount(),
    );
  }
}
