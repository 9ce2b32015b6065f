import type { Stamp } from "./clock.ts";

/** One event of one process. */
export interface TimelineEvent {
  stamp: Stamp;
  host: string;
  part: string;
  /** What happened, as a fixed word such as `call_finished`. */
  kind: string;
  program?: string;
  request?: string;
  shard?: number;
  /** A short sentence; never request contents, keys or history. */
  detail?: string;
}

/** Which events to return. Absent fields match everything. */
export interface TimelineFilter {
  program?: string;
  request?: string;
  part?: string;
  /** Earliest wall-clock time in milliseconds. */
  sinceMs?: number;
}

/** Tells whether an event passes a filter. */
export function matchesFilter(
  event: TimelineEvent,
  filter: TimelineFilter,
): boolean {
  if (filter.program !== undefined && event.program !== filter.program) {
    return false;
  }
  if (filter.request !== undefined && event.request !== filter.request) {
    return false;
  }
  if (filter.part !== undefined && event.part !== filter.part) return false;
  return filter.sinceMs === undefined || event.stamp.ms >= filter.sinceMs;
}
