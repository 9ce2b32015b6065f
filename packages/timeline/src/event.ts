import type { HybridTimestamp } from "./clock.ts";

/** An event recorded by one process. */
export interface TimelineEvent {
  stamp: HybridTimestamp;
  host: string;
  /** Component that recorded the event. */
  part: string;
  /** Event kind, a constant identifier such as `call_finished`. */
  kind: string;
  program?: string;
  request?: string;
  shard?: number;
  /** Short description. Must not contain request contents, keys or history. */
  detail?: string;
}

/** Criteria that an event must match. Absent fields match every event. */
export interface TimelineFilter {
  program?: string;
  request?: string;
  part?: string;
  /** Earliest wall-clock time in milliseconds. */
  sinceMs?: number;
}

/** Returns whether an event matches a filter. */
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
