import type { Timer } from "@toucantrestle/timer";
import { type Clock, compareTimestamps, createClock } from "./clock.ts";
import {
  matchesFilter,
  type TimelineEvent,
  type TimelineFilter,
} from "./event.ts";

/** An event as passed to `record`, without its timestamp and host. */
export type EventInput = Omit<TimelineEvent, "stamp" | "host">;

/** Event timeline of one process, stored in a bounded ring buffer. */
export interface Timeline {
  clock: Clock;
  /** Adds a timestamp to an event and records it. */
  record(event: EventInput): void;
  /** Returns the buffered events that match the filter, oldest first. */
  select(filter: TimelineFilter): TimelineEvent[];
}

/** Creates a timeline that retains the newest `capacity` events. */
export function createTimeline(
  opts: {
    timer: Timer;
    host: string;
    capacity: number;
    /** Called with each recorded event, for example to append it to a file. */
    sink?: (event: TimelineEvent) => void;
  },
): Timeline {
  const clock = createClock(opts.timer);
  const ringBuffer: TimelineEvent[] = [];
  let nextIndex = 0;

  function record(input: EventInput): void {
    const event = { stamp: clock.tick(), host: opts.host, ...input };
    ringBuffer[nextIndex] = event;
    nextIndex = (nextIndex + 1) % opts.capacity;
    opts.sink?.(event);
  }

  function select(filter: TimelineFilter): TimelineEvent[] {
    const ordered = [
      ...ringBuffer.slice(nextIndex),
      ...ringBuffer.slice(0, nextIndex),
    ];
    return ordered.filter((event) => matchesFilter(event, filter));
  }

  return { clock, record, select };
}

/** Merges the timelines of several processes in timestamp order. */
export function mergeTimelines(timelines: TimelineEvent[][]): TimelineEvent[] {
  return timelines.flat().sort(compareEvents);
}

/** Formats an event as one line of text. */
export function formatEvent(event: TimelineEvent): string {
  const time = new Date(event.stamp.ms).toISOString().slice(11, 23);
  const words = [time, event.host, `[${event.part}]`, event.kind];
  if (event.program !== undefined) words.push(event.program);
  if (event.request !== undefined) words.push(`request=${event.request}`);
  if (event.shard !== undefined) words.push(`shard=${event.shard}`);
  if (event.detail !== undefined) words.push(event.detail);
  return words.join(" ");
}

function compareEvents(a: TimelineEvent, b: TimelineEvent): number {
  return compareTimestamps(a.stamp, b.stamp) || a.host.localeCompare(b.host);
}
