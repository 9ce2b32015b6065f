import type { Logger } from "@toucantrestle/log";
import {
  type FileHandle,
  open,
  readdir,
  rm,
  stat,
  writeFile,
} from "node:fs/promises";
import { join } from "node:path";
import {
  decodeFrames,
  encodeFrame,
  type Frame,
  type FrameMetadata,
} from "./frame.ts";
import { readEntireFile, readFrameAt } from "./read_file.ts";
import {
  decodeSummary,
  type SegmentSummary,
  SummaryBuilder,
} from "./summary.ts";

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
  log: Logger;
}

/** Thrown when a record does not fit within the size limit of the journal. */
export class JournalFullError extends Error {
  override name = "JournalFullError";
}

interface Segment {
  number: number;
  bytes: number;
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

/** Result of loading one segment. */
interface LoadedSegment<R> {
  bytes: number;
  summaryBytes: number;
  frames: Frame<R>[];
}

const EMPTY_SEGMENT = { bytes: 0, summaryBytes: 0, frames: [] };
/** Share of the size limit that only renewed records may use. */
const RENEWAL_SHARE = 1 / 16;
/** Segments are small because a restart reads the last one in full. */
const DEFAULT_SEGMENT_BYTES = 2_000_000;
const FILE_NAME_DIGITS = 8;
const SEGMENT_SUFFIX = ".log";
const SUMMARY_SUFFIX = ".sum";

/**
 * Durable append-only log of records. Appends are group-committed: a single
 * sync covers all pending appends.
 */
export class Journal<R> {
  readonly #opts: JournalOptions<R>;
  readonly #segments: Segment[] = [];
  #activeFile: FileHandle | undefined;
  #activeSegment: ActiveSegment | undefined;
  #pending: PendingAppend[] = [];
  #isWriting = false;
  #isClosed = false;
  #syncCount = 0;

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
   * Loads all segments, oldest first, and starts a new segment. If a segment
   * has a summary, only the summary is read: its small frames are reported
   * before its large ones, which stay on disk until they are requested. While
   * one segment is processed, the next one is prefetched.
   */
  async load(onFrame: (frame: Frame<R>) => void): Promise<void> {
    const numbers = await this.#listSegmentNumbers();
    let next = this.#prefetchSegment(numbers[0]);
    for (const [i, number] of numbers.entries()) {
      const { frames, ...sizes } = await next;
      next = this.#prefetchSegment(numbers[i + 1]);
      let expiresAt = 0;
      for (const frame of frames) {
        expiresAt = Math.max(expiresAt, frame.expiresAt);
        onFrame(frame);
      }
      this.#segments.push({ number, ...sizes, expiresAt });
    }
    await this.#startSegment((numbers.at(-1) ?? 0) + 1);
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
   * rejected: the next process may already use the folder.
   */
  async close(): Promise<void> {
    this.#isClosed = true;
    while (this.#isWriting) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    await this.#activeFile?.close();
    this.#activeFile = undefined;
    this.#activeSegment = undefined;
  }

  /**
   * Deletes closed segments whose records have all expired. Records that have
   * to outlive their expiry must have been renewed.
   */
  async sweep(now: number): Promise<void> {
    for (const segment of [...this.#segments]) {
      if (segment === this.#activeSegment || segment.expiresAt > now) continue;
      this.#segments.splice(this.#segments.indexOf(segment), 1);
      await rm(this.#summaryPathOf(segment.number), { force: true });
      await rm(this.#segmentPathOf(segment.number), { force: true });
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
      await this.#startSegment((this.#segments.at(-1)?.number ?? 0) + 1);
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
    this.#syncCount += 1;
  }

  /**
   * Abandons the active segment after a failed write, because its tail is in an
   * unknown state. The next write starts a new segment.
   */
  async #abandonActiveSegment(): Promise<void> {
    this.#activeSegment = undefined;
    await this.#activeFile?.close().catch((err) =>
      this.#opts.log.warn(`cannot close the segment file: ${String(err)}`)
    );
    this.#activeFile = undefined;
  }

  async #startSegment(number: number): Promise<void> {
    await this.#activeFile?.close();
    if (this.#activeSegment) this.#writeSummary(this.#activeSegment);
    this.#activeFile = await open(this.#segmentPathOf(number), "a");
    await syncFolder(this.#opts.folder);
    const summary = new SummaryBuilder();
    this.#activeSegment = {
      number,
      bytes: 0,
      expiresAt: 0,
      summary,
      summaryBytes: 0,
    };
    this.#segments.push(this.#activeSegment);
  }

  /**
   * Writes the summary of a segment in the background. A failure is only
   * logged, because a load falls back to reading the segment.
   */
  #writeSummary(segment: ActiveSegment): void {
    const bytes = segment.summary.encode();
    writeFile(this.#summaryPathOf(segment.number), bytes).catch((err) =>
      this.#opts.log.warn(
        `cannot write the summary of segment ${segment.number}: ${String(err)}`,
      )
    );
  }

  /**
   * Starts to load a segment. The empty handler avoids an unhandled rejection
   * before the caller awaits the result, which still rejects.
   */
  #prefetchSegment(number: number | undefined): Promise<LoadedSegment<R>> {
    if (number === undefined) return Promise.resolve(EMPTY_SEGMENT);
    const loaded = this.#loadSegment(number);
    loaded.catch(() => {});
    return loaded;
  }

  async #loadSegment(number: number): Promise<LoadedSegment<R>> {
    const { size } = await stat(this.#segmentPathOf(number));
    const summary = await this.#readSummary(number, size);
    if (summary) {
      const frames = this.#framesOf(number, summary);
      return { bytes: size, summaryBytes: summary.small.length, frames };
    }
    const bytes = await readEntireFile(this.#segmentPathOf(number));
    const { frames, isDamaged } = decodeFrames<R>(bytes);
    if (isDamaged) {
      this.#opts.log.warn(
        `segment ${number} ends in a corrupt or incomplete frame; ` +
          `loaded the ${frames.length} records before it`,
      );
    }
    return { bytes: bytes.length, summaryBytes: 0, frames };
  }

  async #readSummary(
    number: number,
    segmentBytes: number,
  ): Promise<SegmentSummary | undefined> {
    try {
      const bytes = await readEntireFile(this.#summaryPathOf(number));
      return decodeSummary(bytes, segmentBytes);
    } catch (err) {
      if ((err as NodeJS.ErrnoException).code === "ENOENT") return undefined;
      throw err;
    }
  }

  #framesOf(number: number, summary: SegmentSummary): Frame<R>[] {
    const path = this.#segmentPathOf(number);
    const large = summary.large.map((location): Frame<R> => ({
      key: location.key,
      expiresAt: location.expiresAt,
      read: () => readFrameAt<R>(path, location),
    }));
    return [...decodeFrames<R>(summary.small).frames, ...large];
  }

  async #listSegmentNumbers(): Promise<number[]> {
    const names = await readdir(this.#opts.folder);
    return names
      .filter((it) => it.endsWith(SEGMENT_SUFFIX))
      .map((it) => Number.parseInt(it, 10))
      .sort((a, b) => a - b);
  }

  #segmentPathOf(number: number): string {
    return this.#filePathOf(number, SEGMENT_SUFFIX);
  }

  #summaryPathOf(number: number): string {
    return this.#filePathOf(number, SUMMARY_SUFFIX);
  }

  #filePathOf(number: number, suffix: string): string {
    const name = String(number).padStart(FILE_NAME_DIGITS, "0");
    return join(this.#opts.folder, name + suffix);
  }
}

/** Syncs a folder, so that created, renamed and removed files are durable. */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, "r");
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}
