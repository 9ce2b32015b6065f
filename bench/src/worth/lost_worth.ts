import type { LogEvent } from "./parse_log.ts";
import type { DayReport, DayWindow } from "./parse_report.ts";

/** A window of a day that lost worth, and what the fronts logged meanwhile. */
export interface LosingWindow extends DayWindow {
  /** Programs' worth that was not earned, in programs. */
  lost: number;
  /** Share of the day's loss, from 0 to 1. */
  shareOfLoss: number;
  /** Mean of requests that ran on the chosen upstreams; null without a log. */
  meanRunning: number | null;
  /** Number of log lines by event and reason, most frequent first. */
  causes: { cause: string; count: number }[];
}

/** Events that say why a call ended late or failed. */
const CAUSE_EVENTS = new Set([
  "declined",
  "attempt_failed",
  "stopped",
  "resumed",
  "not_started",
  "refused",
  "cut_off",
  "not_kept",
]);

/**
 * Returns the windows of a day that lost worth, the largest loss first. Events
 * count for the window in which they were logged, which may follow the one in
 * which the program began.
 */
export function findLosingWindows(
  report: DayReport,
  log: readonly LogEvent[],
): LosingWindow[] {
  const lostOf = (it: DayWindow) => it.programs * (1 - it.worth);
  const total = report.windows.reduce((sum, it) => sum + lostOf(it), 0);
  return report.windows
    .map((window, i) => {
      const endS = report.windows[i + 1]?.startS ?? Infinity;
      const events = log.filter((it) =>
        it.atS >= window.startS && it.atS < endS
      );
      return {
        ...window,
        lost: lostOf(window),
        shareOfLoss: total > 0 ? lostOf(window) / total : 0,
        meanRunning: meanRunning(events),
        causes: countCauses(events),
      };
    })
    .filter((it) => it.lost > 0)
    .sort((a, b) => b.lost - a.lost);
}

function meanRunning(events: readonly LogEvent[]): number | null {
  const values = events.flatMap((it) =>
    it.running === undefined ? [] : [it.running]
  );
  if (values.length === 0) return null;
  return values.reduce((sum, it) => sum + it, 0) / values.length;
}

function countCauses(
  events: readonly LogEvent[],
): { cause: string; count: number }[] {
  const counts = new Map<string, number>();
  for (const { event, reason } of events) {
    if (!CAUSE_EVENTS.has(event)) continue;
    const cause = reason === undefined ? event : `${event}: ${reason}`;
    counts.set(cause, (counts.get(cause) ?? 0) + 1);
  }
  return [...counts]
    .map(([cause, count]) => ({ cause, count }))
    .sort((a, b) => b.count - a.count);
}
