import type { Timer } from "@toucantrestle/timer";
import { type Clock, compareStamps, createClock } from "./clock.ts";
import {
  matchesFilter,
  type TimelineEvent,
  type TimelineFilter,
} from "./event.ts";

/** An event as a part reports it, before it is stamped. */
export type EventInput = Omit<TimelineEvent, "stamp" | "host">;

/** Time line of one process: a bounded ring of events. */
export interface Timeline {
  clock: Clock;
  /** Stamps and records an event. */
  record(event: EventInput): void;
  /** Returns the kept events that pass the filter, oldest first. */
  select(filter: TimelineFilter): TimelineEvent[];
}

/** Creates a time line that keeps the newest `capacity` events. */
export function createTimeline(
  opts: {
    timer: Timer;
    host: string;
    capacity: number;
    /** Called with each event, for instance to append it to a file. */
    sink?: (event: TimelineEvent) => void;
  },
): Timeline {
  const clock = createClock(opts.timer);
  const ring: TimelineEvent[] = [];
  let next = 0;

  function record(input: EventInput): void {
    const event = { stamp: clock.tick(), host: opts.host, ...input };
    ring[next] = event;
    next = (next + 1) % opts.capacity;
    opts.sink?.(event);
  }

  function select(filter: TimelineFilter): TimelineEvent[] {
    const ordered = [...ring.slice(next), ...ring.slice(0, next)];
    return ordered.filter((event) => matchesFilter(event, filter));
  }

  return { clock, record, select };
}

/** Merges the time lines of several processes into one order. */
export function mergeTimelines(lists: TimelineEvent[][]): TimelineEvent[] {
  return lists.flat().sort(compareEvents);
}

/** Writes one event as a line of text. */
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
  return compareStamps(a.stamp, b.stamp) || a.host.localeCompare(b.host);
}
