import type { UpstreamEntry } from "@toucantrestle/routing";
import type { StreamOrigin } from "@toucantrestle/turn_log";
import type { Call } from "./call.ts";

/** Returns the origin of a stream that an upstream is asked to begin. */
export function createOrigin(
  entry: UpstreamEntry,
  ordinal: number,
): StreamOrigin {
  const { service, softwareVersion, id, startedAt } = entry;
  return { service, softwareVersion, upstream: id, startedAt, ordinal };
}

/**
 * Returns whether an upstream runs the software that began a stream. Without a
 * version only the process that began it is certain to.
 */
export function runsSameSoftware(
  entry: UpstreamEntry,
  origin: StreamOrigin,
): boolean {
  if (entry.service !== origin.service) return false;
  if (origin.softwareVersion === undefined) {
    return entry.id === origin.upstream && entry.startedAt === origin.startedAt;
  }
  return entry.softwareVersion === origin.softwareVersion;
}

/** Whether a call takes up a stream that an earlier request has begun. */
export function isResumption({ head, route }: Call): boolean {
  return route.isResumable && Boolean(head.lastEventId);
}
