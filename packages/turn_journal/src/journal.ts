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
  type FrameLabel,
} from "./frame.ts";
import { readFrameAt, readWhole } from "./read_file.ts";
import { decodeSummary, type Summary, SummaryBuilder } from "./summary.ts";

/** Settings of a journal. */
export interface JournalOptions<R> {
  /** Folder of the segments. */
  folder: string;
  /** Bytes that all segments together may take. */
  maxBytes: number;
  /** What a record is found by, and when it may be dropped. */
  labelOf: (record: R) => FrameLabel;
  /** A new segment is begun after this many bytes. */
  segmentBytes?: number;
  log: Logger;
}

/** The journal has no room for another record. */
export class JournalFullError extends Error {
  override name = "JournalFullError";
}

interface Segment {
  number: number;
  bytes: number;
  /** Latest expiry of its records. */
  expiresAt: number;
  /** Bytes of its summary. */
  summaryBytes: number;
}

/** The segment that is being written. */
interface OpenSegment extends Segment {
  summary: SummaryBuilder;
}

interface Waiting {
  label: FrameLabel;
  frame: Buffer;
  resolve: () => void;
  reject: (err: unknown) => void;
}

/** What a load takes from one segment. */
interface LoadedSegment<R> {
  bytes: number;
  summaryBytes: number;
  frames: Frame<R>[];
}

const NO_SEGMENT = { bytes: 0, summaryBytes: 0, frames: [] };
/** A restart reads the last segment whole, so segments are small. */
const SEGMENT_BYTES = 2_000_000;
const NAME_DIGITS = 8;
const SEGMENT_SUFFIX = ".log";
const SUMMARY_SUFFIX = ".sum";

/** Durable append-only records; one sync serves all that wait for it. */
export class Journal<R> {
  readonly #opts: JournalOptions<R>;
  readonly #segments: Segment[] = [];
  #file: FileHandle | undefined;
  #current: OpenSegment | undefined;
  #waiting: Waiting[] = [];
  #isWriting = false;
  #syncs = 0;

  constructor(opts: JournalOptions<R>) {
    this.#opts = opts;
  }

  /** Bytes on the disk. */
  get bytes(): number {
    return this.#segments.reduce(
      (sum, it) => sum + it.bytes + it.summaryBytes,
      0,
    );
  }

  /** Syncs made so far. */
  get syncs(): number {
    return this.#syncs;
  }

  /**
   * Finds all records, oldest first, and starts a new segment. Of a segment
   * with a summary only that is read; its large frames stay on the disk until
   * they are asked for. While one segment is checked, the next is on its way.
   */
  async load(onFrame: (frame: Frame<R>) => void): Promise<void> {
    const numbers = await this.#listNumbers();
    let next = this.#loadAhead(numbers[0]);
    for (const [i, number] of numbers.entries()) {
      const { frames, ...sizes } = await next;
      next = this.#loadAhead(numbers[i + 1]);
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
   * Appends a record; resolves once it would survive a loss of power.
   *
   * @throws {JournalFullError} when the disk has no room left for it
   */
  append(record: R): Promise<void> {
    const label = this.#opts.labelOf(record);
    const frame = encodeFrame(label, record);
    if (this.bytes + frame.length > this.#opts.maxBytes) {
      return Promise.reject(new JournalFullError("journal is full"));
    }
    return new Promise((resolve, reject) => {
      this.#waiting.push({ label, frame, resolve, reject });
      if (!this.#isWriting) this.#writeAll();
    });
  }

  /** Closes the file; appends that wait are still written before. */
  async close(): Promise<void> {
    while (this.#isWriting) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    await this.#file?.close();
    this.#file = undefined;
    this.#current = undefined;
  }

  /** Removes segments whose records have all expired. */
  async sweep(now: number): Promise<void> {
    for (const segment of [...this.#segments]) {
      if (segment === this.#current || segment.expiresAt > now) continue;
      this.#segments.splice(this.#segments.indexOf(segment), 1);
      await rm(this.#summaryPathOf(segment.number), { force: true });
      await rm(this.#pathOf(segment.number), { force: true });
    }
  }

  async #writeAll(): Promise<void> {
    this.#isWriting = true;
    while (this.#waiting.length > 0) {
      const batch = this.#waiting;
      this.#waiting = [];
      try {
        await this.#writeBatch(batch);
        for (const it of batch) it.resolve();
      } catch (err) {
        this.#opts.log.error(`write failed: ${String(err)}`);
        for (const it of batch) it.reject(err);
        await this.#replaceSegment();
      }
    }
    this.#isWriting = false;
  }

  async #writeBatch(batch: Waiting[]): Promise<void> {
    const { segmentBytes = SEGMENT_BYTES } = this.#opts;
    if (!this.#current || this.#current.bytes > segmentBytes) {
      await this.#startSegment((this.#segments.at(-1)?.number ?? 0) + 1);
    }
    const segment = this.#current as OpenSegment;
    const file = this.#file as FileHandle;
    const bytes = Buffer.concat(batch.map((it) => it.frame));
    for (const { label } of batch) {
      segment.expiresAt = Math.max(segment.expiresAt, label.expiresAt);
    }
    await file.appendFile(bytes);
    await file.datasync();
    for (const { label, frame } of batch) segment.summary.add(label, frame);
    segment.summaryBytes = segment.summary.bytes;
    segment.bytes += bytes.length;
    this.#syncs += 1;
  }

  /** After a failed write the segment's tail is unknown: a new one follows. */
  async #replaceSegment(): Promise<void> {
    this.#current = undefined;
    await this.#file?.close().catch((err) =>
      this.#opts.log.warn(`segment cannot be closed: ${String(err)}`)
    );
    this.#file = undefined;
  }

  async #startSegment(number: number): Promise<void> {
    await this.#file?.close();
    if (this.#current) this.#writeSummary(this.#current);
    this.#file = await open(this.#pathOf(number), "a");
    await syncFolder(this.#opts.folder);
    const summary = new SummaryBuilder();
    this.#current = {
      number,
      bytes: 0,
      expiresAt: 0,
      summary,
      summaryBytes: 0,
    };
    this.#segments.push(this.#current);
  }

  /** A summary only saves time: without it a load reads the segment. */
  #writeSummary(segment: OpenSegment): void {
    const bytes = segment.summary.encode();
    writeFile(this.#summaryPathOf(segment.number), bytes).catch((err) =>
      this.#opts.log.warn(
        `segment ${segment.number} has no summary: ${String(err)}`,
      )
    );
  }

  /** Loads a segment; a failure shows to whoever waits for it. */
  #loadAhead(number: number | undefined): Promise<LoadedSegment<R>> {
    if (number === undefined) return Promise.resolve(NO_SEGMENT);
    const loaded = this.#loadSegment(number);
    loaded.catch(() => {});
    return loaded;
  }

  async #loadSegment(number: number): Promise<LoadedSegment<R>> {
    const { size } = await stat(this.#pathOf(number));
    const summary = await this.#readSummary(number, size);
    if (summary) {
      const frames = this.#framesOf(number, summary);
      return { bytes: size, summaryBytes: summary.small.length, frames };
    }
    const bytes = await readWhole(this.#pathOf(number));
    const { frames, isDamaged } = decodeFrames<R>(bytes);
    if (isDamaged) {
      this.#opts.log.warn(
        `segment ${number} ends in an unfinished write; ` +
          `${frames.length} records before it are kept`,
      );
    }
    return { bytes: bytes.length, summaryBytes: 0, frames };
  }

  async #readSummary(
    number: number,
    segmentBytes: number,
  ): Promise<Summary | undefined> {
    try {
      const bytes = await readWhole(this.#summaryPathOf(number));
      return decodeSummary(bytes, segmentBytes);
    } catch (err) {
      if ((err as NodeJS.ErrnoException).code === "ENOENT") return undefined;
      throw err;
    }
  }

  #framesOf(number: number, summary: Summary): Frame<R>[] {
    const path = this.#pathOf(number);
    const large = summary.large.map((place): Frame<R> => ({
      key: place.key,
      expiresAt: place.expiresAt,
      read: () => readFrameAt<R>(path, place),
    }));
    return [...decodeFrames<R>(summary.small).frames, ...large];
  }

  async #listNumbers(): Promise<number[]> {
    const names = await readdir(this.#opts.folder);
    return names
      .filter((it) => it.endsWith(SEGMENT_SUFFIX))
      .map((it) => Number.parseInt(it, 10))
      .sort((a, b) => a - b);
  }

  #pathOf(number: number): string {
    return this.#fileOf(number, SEGMENT_SUFFIX);
  }

  #summaryPathOf(number: number): string {
    return this.#fileOf(number, SUMMARY_SUFFIX);
  }

  #fileOf(number: number, suffix: string): string {
    const name = String(number).padStart(NAME_DIGITS, "0");
    return join(this.#opts.folder, name + suffix);
  }
}

/** Makes created, renamed and removed names in a folder durable. */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, "r");
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}
