import type { UpstreamEntry } from "@toucantrestle/routing";
import type { StreamOrigin } from "@toucantrestle/turn_log";
import type { ProcessDemand } from "@toucantrestle/upstream_channel";
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
 * Returns the origin of a stream that begins at a process of which nothing is
 * known. No other process is known to run the same software.
 */
export function createUnknownOrigin(
  { service, id }: UpstreamEntry,
  ordinal: number,
): StreamOrigin {
  return { service, softwareVersion: undefined, upstream: id, ordinal };
}

/**
 * Returns the origin of a stream with the version that the entry of its
 * upstream names, if the origin lacks it and the entry is of the same process.
 */
export function completeOrigin(
  origin: StreamOrigin,
  entry: UpstreamEntry | undefined,
): StreamOrigin {
  const isSameProcess = entry?.id === origin.upstream &&
    entry.startedAt === origin.startedAt;
  const isComplete = origin.softwareVersion !== undefined;
  if (isComplete || !isSameProcess) return origin;
  return { ...origin, softwareVersion: entry.softwareVersion };
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

/**
 * Returns which process may get a call. Parts of one stream must come from the
 * same software, and an entry tells only that of the process that wrote it.
 */
export function demandOf({ route }: Call): ProcessDemand {
  return route.kind === "streaming" && route.isResumable ? "proven" : "any";
}

/** Whether a call takes up a stream that an earlier request has begun. */
export function isResumption({ head, route }: Call): boolean {
  return route.isResumable && Boolean(head.lastEventId);
}
