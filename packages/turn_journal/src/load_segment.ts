import type { Logger } from "@toucantrestle/log";
import { open, stat } from "node:fs/promises";
import { join } from "node:path";
import { segmentFileName } from "./data_folder.ts";
import { DamagedDiskError, isNotFound } from "./errors.ts";
import { decodeFrames, type Frame } from "./frame.ts";
import type { ManifestEntry } from "./manifest.ts";
import { readEntireFile, readFrameAt } from "./read_file.ts";
import { decodeSummary, type SegmentSummary } from "./summary.ts";

/** Options of `loadSegment`. */
export interface LoadSegmentOptions {
  folder: string;
  /** What the manifest says of the segment. */
  listed: ManifestEntry | undefined;
  /** Wall-clock time in ms; what has expired by then may be missing. */
  now: number;
  /** Called when a record that is read later cannot be read. */
  onUnreadable: (err: unknown) => void;
  log: Logger;
}

/** A segment that was found on disk. */
export interface LoadedSegment<R> {
  number: number;
  /** Size of its file. */
  bytes: number;
  /** Bytes from its beginning that hold records, all of them synced. */
  syncedBytes: number;
  summaryBytes: number;
  /** Latest expiry of its records, as wall-clock time in ms. */
  expiresAt: number;
  frames: Frame<R>[];
}

/**
 * Loads a segment. If it has a summary, only that is read: its small frames
 * come before its large ones, which stay on disk until they are requested. A
 * corrupt end of what was never synced is passed over.
 *
 * @throws {DamagedDiskError} if unexpired records are missing that were synced
 */
export async function loadSegment<R>(
  number: number,
  opts: LoadSegmentOptions,
): Promise<LoadedSegment<R>> {
  const path = join(opts.folder, segmentFileName(number, "log"));
  const { size } = await stat(path);
  const summary = await readSummary(opts.folder, number);
  if (summary?.segmentBytes === size) {
    const frames = framesOf<R>(path, summary, opts.onUnreadable);
    const loaded = {
      number,
      bytes: size,
      syncedBytes: size,
      summaryBytes: summary.small.length,
      expiresAt: latestExpiry(frames),
      frames,
    };
    checkSynced(loaded, opts.listed, opts.now);
    return loaded;
  }
  const content = await readEntireFile(path);
  const { frames, frameBytes, isDamaged } = decodeFrames<R>(content);
  const loaded = {
    number,
    bytes: content.length,
    syncedBytes: frameBytes,
    summaryBytes: 0,
    expiresAt: latestExpiry(frames),
    frames,
  };
  const summarised = summary && entryOf(number, summary);
  checkSynced(loaded, opts.listed ?? summarised, opts.now);
  if (isDamaged) {
    opts.log.warn(
      `segment ${number} ends in a corrupt or incomplete frame; ` +
        `loaded the ${frames.length} records before it`,
    );
  }
  // What a process before did not sync must not count as synced from now on.
  if (frameBytes > (opts.listed?.bytes ?? 0)) await syncFile(path);
  return loaded;
}

/**
 * Checks that all segments of a manifest exist whose records have not expired.
 *
 * @throws {DamagedDiskError} if one is missing
 */
export function checkExisting(
  entries: readonly ManifestEntry[],
  { numbers, now }: { numbers: readonly number[]; now: number },
): void {
  const existing = new Set(numbers);
  for (const { number, expiresAt, bytes } of entries) {
    if (expiresAt <= now || existing.has(number)) continue;
    throw new DamagedDiskError(
      `segment ${number} is missing: ${bytes} bytes of it were synced`,
    );
  }
}

function checkSynced(
  { number, syncedBytes }: { number: number; syncedBytes: number },
  listed: ManifestEntry | undefined,
  now: number,
): void {
  if (!listed || listed.expiresAt <= now || listed.bytes <= syncedBytes) return;
  throw new DamagedDiskError(
    `segment ${number} is damaged: ${syncedBytes} of ${listed.bytes} synced ` +
      `bytes can be read`,
  );
}

async function readSummary(
  folder: string,
  number: number,
): Promise<SegmentSummary | undefined> {
  try {
    const path = join(folder, segmentFileName(number, "sum"));
    return decodeSummary(await readEntireFile(path));
  } catch (err) {
    if (isNotFound(err)) return undefined;
    throw err;
  }
}

/** Returns what a summary says of its segment. */
function entryOf(number: number, summary: SegmentSummary): ManifestEntry {
  const small = decodeFrames(summary.small).frames;
  return {
    number,
    bytes: summary.segmentBytes,
    expiresAt: latestExpiry([...small, ...summary.large]),
  };
}

function framesOf<R>(
  path: string,
  summary: SegmentSummary,
  onUnreadable: (err: unknown) => void,
): Frame<R>[] {
  const large = summary.large.map((location): Frame<R> => ({
    key: location.key,
    expiresAt: location.expiresAt,
    read() {
      try {
        return readFrameAt<R>(path, location);
      } catch (err) {
        onUnreadable(err);
        throw err;
      }
    },
  }));
  return [...decodeFrames<R>(summary.small).frames, ...large];
}

function latestExpiry(records: readonly { expiresAt: number }[]): number {
  return records.reduce((latest, it) => Math.max(latest, it.expiresAt), 0);
}

async function syncFile(path: string): Promise<void> {
  const file = await open(path, "r+");
  try {
    await file.datasync();
  } finally {
    await file.close();
  }
}
