import { createTimeline, type Timeline } from "@toucantrestle/timeline";
import { join } from "node:path";
import type { DaemonContext } from "./daemon_context.ts";
import type { DaemonSettings } from "./settings.ts";
import { TimelineFile } from "./timeline_file.ts";

const TIMELINE_CAPACITY = 20_000;

/**
 * Creates the timeline of a daemon. With a data folder, its events are appended
 * to a file as well.
 */
export function createDaemonTimeline(
  { host, dataFolder }: Pick<DaemonSettings, "host" | "dataFolder">,
  { timer, logs }: Pick<DaemonContext, "timer" | "logs">,
): Timeline {
  const base = { timer, host, capacity: TIMELINE_CAPACITY };
  if (dataFolder === undefined) return createTimeline(base);
  const file = new TimelineFile({
    path: join(dataFolder, `timeline-${host}.jsonl`),
    timer,
    log: logs("timeline"),
  });
  return createTimeline({ ...base, sink: (event) => file.append(event) });
}
