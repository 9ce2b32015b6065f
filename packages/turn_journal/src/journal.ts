import type { Logger } from "@toucantrestle/log";
import { type FileHandle, open, readdir, rm } from "node:fs/promises";
import { join } from "node:path";
import {
  decodeFrames,
  encodeFrame,
  type Frame,
  type FrameLabel,
} from "./frame.ts";

/** Settings of a journal. */
export interface JournalOptions<R> {
  /** Folder of the segments. */
  folder: string;
  /** Bytes that all segments together may take. */
  maxBytes: number;
  /** What a record is found by, and when it may be dropped. */
  labelOf: (record: R) => FrameLabel;
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
}

interface Waiting {
  frame: Buffer;
  resolve: () => void;
  reject: (err: unknown) => void;
}

const SEGMENT_BYTES = 8_000_000;
const NAME_DIGITS = 8;

/** Durable append-only records; one sync serves all that wait for it. */
export class Journal<R> {
  readonly #opts: JournalOptions<R>;
  readonly #segments: Segment[] = [];
  #file: FileHandle | undefined;
  #current: Segment | undefined;
  #waiting: Waiting[] = [];
  #waitingExpiry = 0;
  #isWriting = false;
  #syncs = 0;

  constructor(opts: JournalOptions<R>) {
    this.#opts = opts;
  }

  /** Bytes on the disk. */
  get bytes(): number {
    return this.#segments.reduce((sum, it) => sum + it.bytes, 0);
  }

  /** Syncs made so far. */
  get syncs(): number {
    return this.#syncs;
  }

  /**
   * Reads all segments, oldest first, and starts a new one. While one segment
   * is checked, the next is on its way from the disk.
   */
  async load(onFrame: (frame: Frame<R>) => void): Promise<void> {
    const numbers = await this.#listNumbers();
    let next = this.#readAhead(numbers[0]);
    for (const [i, number] of numbers.entries()) {
      const bytes = await next;
      next = this.#readAhead(numbers[i + 1]);
      this.#loadSegment(number, bytes, onFrame);
    }
    const last = this.#segments.at(-1)?.number ?? 0;
    await this.#startSegment(last + 1);
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
    this.#waitingExpiry = Math.max(this.#waitingExpiry, label.expiresAt);
    return new Promise((resolve, reject) => {
      this.#waiting.push({ frame, resolve, reject });
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
    if (!this.#current || this.#current.bytes > SEGMENT_BYTES) {
      await this.#startSegment((this.#segments.at(-1)?.number ?? 0) + 1);
    }
    const segment = this.#current as Segment;
    const file = this.#file as FileHandle;
    const bytes = Buffer.concat(batch.map((it) => it.frame));
    segment.expiresAt = Math.max(segment.expiresAt, this.#waitingExpiry);
    await file.appendFile(bytes);
    await file.datasync();
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
    this.#file = await open(this.#pathOf(number), "a");
    await syncFolder(this.#opts.folder);
    this.#current = { number, bytes: 0, expiresAt: 0 };
    this.#segments.push(this.#current);
  }

  #loadSegment(
    number: number,
    bytes: Buffer,
    onFrame: (frame: Frame<R>) => void,
  ): void {
    const { frames, isDamaged } = decodeFrames<R>(bytes);
    if (isDamaged) {
      this.#opts.log.warn(
        `segment ${number} ends in an unfinished write; ` +
          `${frames.length} records before it are kept`,
      );
    }
    let expiresAt = 0;
    for (const frame of frames) {
      expiresAt = Math.max(expiresAt, frame.expiresAt);
      onFrame(frame);
    }
    this.#segments.push({ number, bytes: bytes.length, expiresAt });
  }

  /** Bytes of a segment; a failure shows to whoever waits for them. */
  #readAhead(number: number | undefined): Promise<Buffer> {
    if (number === undefined) return Promise.resolve(Buffer.alloc(0));
    const bytes = readWhole(this.#pathOf(number));
    bytes.catch(() => {});
    return bytes;
  }

  async #listNumbers(): Promise<number[]> {
    const names = await readdir(this.#opts.folder);
    return names
      .filter((it) => it.endsWith(".log"))
      .map((it) => Number.parseInt(it, 10))
      .sort((a, b) => a - b);
  }

  #pathOf(number: number): string {
    const name = String(number).padStart(NAME_DIGITS, "0");
    return join(this.#opts.folder, `${name}.log`);
  }
}

/** Reads a file in as few calls as possible. */
async function readWhole(path: string): Promise<Buffer> {
  const file = await open(path, "r");
  try {
    const { size } = await file.stat();
    const bytes = Buffer.allocUnsafe(size);
    let length = 0;
    while (length < size) {
      const { bytesRead } = await file.read(
        bytes,
        length,
        size - length,
        length,
      );
      if (bytesRead === 0) break;
      length += bytesRead;
    }
    return bytes.subarray(0, length);
  } finally {
    await file.close();
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
