import type { Logger } from "@toucantrestle/log";
import { type FileHandle, open, rm, writeFile } from "node:fs/promises";
import { join } from "node:path";
import {
  listFolder,
  MAX_SEGMENT_NUMBER,
  type SegmentFileKind,
  segmentFileName,
  syncFolder,
} from "./data_folder.ts";
import { isNotFound } from "./errors.ts";
import { encodeFrame, type Frame, type FrameMetadata } from "./frame.ts";
import {
  checkExisting,
  type LoadedSegment,
  loadSegment,
} from "./load_segment.ts";
import { type ManifestEntry, readManifest, writeManifest } from "./manifest.ts";
import { SummaryBuilder } from "./summary.ts";

/** Options of a journal. */
export interface JournalOptions<R> {
  /** Folder that holds the segment files. */
  folder: string;
  /** Size limit of all segments and summaries together, in bytes. */
  maxBytes: number;
  /** Returns the key and the expiry of a record. */
  metadataOf: (record: R) => FrameMetadata;
  /** Size beyond which a segment is closed and a new one started, in bytes. */
  segmentBytes?: number;
  /** Called when a record that was left on disk cannot be read, or is gone. */
  onUnreadable?: (err: unknown) => void;
  log: Logger;
}

/** Thrown when a record does not fit within the size limit of the journal. */
export class JournalFullError extends Error {
  override name = "JournalFullError";
}

interface Segment {
  number: number;
  /** Size of its file, as far as that is known. */
  bytes: number;
  /** Bytes from its beginning that have been synced. */
  syncedBytes: number;
  /** Latest expiry of the records in the segment. */
  expiresAt: number;
  /** Estimated size of the summary in bytes. */
  summaryBytes: number;
}

/** The segment that records are appended to. */
interface ActiveSegment extends Segment {
  summary: SummaryBuilder;
}

/** An append that has not been synced to disk yet. */
interface PendingAppend {
  metadata: FrameMetadata;
  frame: Buffer;
  resolve: () => void;
  reject: (err: unknown) => void;
}

/** Share of the size limit that only renewed records may use. */
const RENEWAL_SHARE = 1 / 16;
/** Segments are small because a restart reads the last one in full. */
const DEFAULT_SEGMENT_BYTES = 2_000_000;

/**
 * Durable append-only log of records. Appends are group-committed: a single
 * sync covers all pending appends. A manifest lists how much of each segment
 * has been synced, so that a load notices what is missing of it.
 */
export class Journal<R> {
  readonly #opts: JournalOptions<R>;
  #segments: Segment[] = [];
  /** Numbers of segments that exist, or whose names are in use otherwise. */
  #takenNumbers = new Set<number>();
  #lastNumber = 0;
  #activeFile: FileHandle | undefined;
  #activeSegment: ActiveSegment | undefined;
  #pending: PendingAppend[] = [];
  #isWriting = false;
  #isClosed = false;
  #syncCount = 0;
  /** Content of the manifest on disk, as JSON; empty if it is not known. */
  #savedManifest = "";
  #savingManifest: Promise<void> = Promise.resolve();
  #savingSummary: Promise<void> = Promise.resolve();
  #sweeping: Promise<void> = Promise.resolve();

  constructor(opts: JournalOptions<R>) {
    this.#opts = opts;
  }

  /** Size of all segments and summaries on disk, in bytes. */
  get bytes(): number {
    return this.#segments.reduce(
      (sum, it) => sum + it.bytes + it.summaryBytes,
      0,
    );
  }

  /** Number of successful syncs since the start. */
  get syncCount(): number {
    return this.#syncCount;
  }

  /**
   * Loads all segments, oldest first, and starts a new segment. What has expired
   * by `now`, a wall-clock time in ms, may be missing. While one segment is
   * processed, the next one is prefetched.
   *
   * @throws {DamagedDiskError} if unexpired records are missing that were synced
   */
  async load(onFrame: (frame: Frame<R>) => void, now = 0): Promise<void> {
    const { segments: numbers, takenNumbers } = await listFolder(
      this.#opts.folder,
    );
    const saved = await readManifest(this.#opts.folder);
    if (saved) this.#savedManifest = JSON.stringify(saved);
    const manifest = saved ?? [];
    checkExisting(manifest, { numbers, now });
    const listed = new Map(manifest.map((it) => [it.number, it]));
    const prefetch = (number: number | undefined) =>
      number === undefined
        ? undefined
        : this.#prefetchSegment(number, listed.get(number), now);
    let next = prefetch(numbers[0]);
    for (const i of numbers.keys()) {
      const { frames, ...segment } = await next as LoadedSegment<R>;
      next = prefetch(numbers[i + 1]);
      for (const frame of frames) onFrame(frame);
      this.#segments.push(segment);
    }
    this.#takenNumbers = takenNumbers;
    this.#lastNumber = Math.max(0, ...numbers, ...listed.keys());
    await this.#startSegment();
    await this.saveManifest();
  }

  /**
   * Appends a record. Resolves once the record is durable, that is, survives a
   * power failure.
   *
   * @throws {JournalFullError} if the record would exceed the size limit
   */
  append(record: R): Promise<void> {
    return this.#enqueue(record, this.#opts.maxBytes * (1 - RENEWAL_SHARE));
  }

  /**
   * Appends a record again that is stored in a segment which is about to
   * expire. A share of the size limit is reserved for such records, because
   * that segment cannot be deleted before.
   *
   * @throws {JournalFullError} if the record would exceed the size limit
   */
  renew(record: R): Promise<void> {
    return this.#enqueue(record, this.#opts.maxBytes);
  }

  #enqueue(record: R, maxBytes: number): Promise<void> {
    if (this.#isClosed) {
      return Promise.reject(new Error("the journal is closed"));
    }
    const metadata = this.#opts.metadataOf(record);
    const frame = encodeFrame(metadata, record);
    if (this.bytes + frame.length > maxBytes) {
      return Promise.reject(
        new JournalFullError(
          `journal is full: ${this.bytes} of ${maxBytes} bytes ` +
            `are used, the record needs ${frame.length} bytes`,
        ),
      );
    }
    return new Promise((resolve, reject) => {
      this.#pending.push({ metadata, frame, resolve, reject });
      if (!this.#isWriting) this.#drainPending();
    });
  }

  /**
   * Writes pending appends, then closes the active segment. Later appends are
   * rejected, and nothing is deleted: others may already use the folder.
   */
  async close(): Promise<void> {
    this.#isClosed = true;
    while (this.#isWriting) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    await Promise.allSettled([
      this.#sweeping,
      this.#savingManifest,
      this.#savingSummary,
    ]);
    await this.#activeFile?.close();
    this.#activeFile = undefined;
    this.#activeSegment = undefined;
  }

  /**
   * Deletes closed segments whose records have all expired. Records that have
   * to outlive their expiry must have been renewed. The manifest goes first, so
   * that it never lists what was deleted.
   */
  async sweep(now: number): Promise<void> {
    if (this.#isClosed) return;
    this.#sweeping = this.#deleteExpired(now);
    await this.#sweeping;
  }

  async #deleteExpired(now: number): Promise<void> {
    const isExpired = (it: Segment) =>
      it !== this.#activeSegment && it.expiresAt <= now;
    const expired = this.#segments.filter(isExpired);
    this.#segments = this.#segments.filter((it) => !expired.includes(it));
    await this.saveManifest();
    for (const { number } of expired) {
      await rm(this.#pathOf(number, "sum"), { force: true });
      await rm(this.#pathOf(number, "log"), { force: true });
      this.#takenNumbers.delete(number);
    }
  }

  /**
   * Writes down how much of each segment has been synced, if that has changed.
   * A failure is only logged: the manifest before stays true.
   */
  saveManifest(): Promise<void> {
    this.#savingManifest = this.#savingManifest.then(() =>
      this.#writeManifest()
    );
    return this.#savingManifest;
  }

  async #writeManifest(): Promise<void> {
    const entries = this.#segments
      .filter((it) => it.syncedBytes > 0)
      .map(({ number, syncedBytes, expiresAt }): ManifestEntry => ({
        number,
        bytes: syncedBytes,
        expiresAt,
      }));
    const content = JSON.stringify(entries);
    if (content === this.#savedManifest) return;
    try {
      await writeManifest(this.#opts.folder, entries);
      this.#savedManifest = content;
    } catch (err) {
      this.#opts.log.warn(`cannot write the manifest: ${String(err)}`);
      // The folder is gone, with all that was synced.
      if (isNotFound(err)) this.#opts.onUnreadable?.(err);
    }
  }

  async #drainPending(): Promise<void> {
    this.#isWriting = true;
    while (this.#pending.length > 0) {
      const batch = this.#pending;
      this.#pending = [];
      try {
        await this.#writeBatch(batch);
        for (const it of batch) it.resolve();
      } catch (err) {
        this.#opts.log.error(
          `appending ${batch.length} records failed: ${String(err)}`,
        );
        for (const it of batch) it.reject(err);
        await this.#abandonActiveSegment();
      }
    }
    this.#isWriting = false;
  }

  async #writeBatch(batch: PendingAppend[]): Promise<void> {
    const { segmentBytes = DEFAULT_SEGMENT_BYTES } = this.#opts;
    if (!this.#activeSegment || this.#activeSegment.bytes > segmentBytes) {
      await this.#startSegment();
      this.saveManifest();
    }
    const segment = this.#activeSegment as ActiveSegment;
    const file = this.#activeFile as FileHandle;
    const bytes = Buffer.concat(batch.map((it) => it.frame));
    for (const { metadata } of batch) {
      segment.expiresAt = Math.max(segment.expiresAt, metadata.expiresAt);
    }
    await file.appendFile(bytes);
    await file.datasync();
    for (const { metadata, frame } of batch) {
      segment.summary.add(metadata, frame);
    }
    segment.summaryBytes = segment.summary.estimatedBytes;
    segment.bytes += bytes.length;
    segment.syncedBytes = segment.bytes;
    this.#syncCount += 1;
  }

  /**
   * Abandons the active segment after a failed write, because its tail is in an
   * unknown state. The next write starts a new segment.
   */
  async #abandonActiveSegment(): Promise<void> {
    const segment = this.#activeSegment;
    this.#activeSegment = undefined;
    await this.#activeFile?.close().catch((err) =>
      this.#opts.log.warn(`cannot close the segment file: ${String(err)}`)
    );
    this.#activeFile = undefined;
    if (segment?.syncedBytes === 0) await this.#deleteUnwritten(segment);
  }

  /** Deletes a segment that holds no acknowledged record. */
  async #deleteUnwritten(segment: Segment): Promise<void> {
    try {
      await rm(this.#pathOf(segment.number, "log"), { force: true });
      this.#segments = this.#segments.filter((it) => it !== segment);
      this.#takenNumbers.delete(segment.number);
    } catch (err) {
      this.#opts.log.warn(
        `cannot delete segment ${segment.number}: ${String(err)}`,
      );
    }
  }

  async #startSegment(): Promise<void> {
    await this.#activeFile?.close();
    if (this.#activeSegment) this.#writeSummary(this.#activeSegment);
    const number = this.#nextNumber();
    this.#activeFile = await open(this.#pathOf(number, "log"), "a");
    await syncFolder(this.#opts.folder);
    this.#lastNumber = number;
    this.#takenNumbers.add(number);
    this.#activeSegment = {
      number,
      bytes: 0,
      syncedBytes: 0,
      expiresAt: 0,
      summary: new SummaryBuilder(),
      summaryBytes: 0,
    };
    this.#segments.push(this.#activeSegment);
  }

  /** Returns the number after the last one, or the first that is not in use. */
  #nextNumber(): number {
    let number = this.#lastNumber;
    do number = number % MAX_SEGMENT_NUMBER + 1; while (
      this.#takenNumbers.has(number)
    );
    return number;
  }

  /**
   * Writes the summary of a segment in the background. A failure is only
   * logged, because a load falls back to reading the segment.
   */
  #writeSummary(segment: ActiveSegment): void {
    const bytes = segment.summary.encode();
    const path = this.#pathOf(segment.number, "sum");
    const written = writeFile(path, bytes).catch((err) =>
      this.#opts.log.warn(
        `cannot write the summary of segment ${segment.number}: ${String(err)}`,
      )
    );
    this.#savingSummary = this.#savingSummary.then(() => written);
  }

  /**
   * Starts to load a segment. The empty handler avoids an unhandled rejection
   * before the caller awaits the result, which still rejects.
   */
  #prefetchSegment(
    number: number,
    listed: ManifestEntry | undefined,
    now: number,
  ): Promise<LoadedSegment<R>> {
    const { folder, log, onUnreadable = () => {} } = this.#opts;
    const opts = { folder, listed, now, onUnreadable, log };
    const loaded = loadSegment<R>(number, opts);
    loaded.catch(() => {});
    return loaded;
  }

  #pathOf(number: number, kind: SegmentFileKind): string {
    return join(this.#opts.folder, segmentFileName(number, kind));
  }
}
