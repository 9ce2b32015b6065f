import type { Logger } from "@toucantrestle/log";
import { type FileHandle, open, readdir, readFile, rm } from "node:fs/promises";
import { join } from "node:path";
import { decodeFrames, encodeFrame } from "./frame.ts";

/** Settings of a journal. */
export interface JournalOptions<R> {
  /** Folder of the segments. */
  folder: string;
  /** Bytes that all segments together may take. */
  maxBytes: number;
  /** Wall-clock time in ms after which a record may be dropped. */
  expiryOf: (record: R) => number;
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

  /** Reads all segments, oldest first, and starts a new one. */
  async load(onRecord: (record: R) => void): Promise<void> {
    for (const number of await this.#listNumbers()) {
      await this.#loadSegment(number, onRecord);
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
    const frame = encodeFrame(record);
    if (this.bytes + frame.length > this.#opts.maxBytes) {
      return Promise.reject(new JournalFullError("journal is full"));
    }
    this.#waitingExpiry = Math.max(
      this.#waitingExpiry,
      this.#opts.expiryOf(record),
    );
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

  async #loadSegment(
    number: number,
    onRecord: (record: R) => void,
  ): Promise<void> {
    const bytes = await readFile(this.#pathOf(number));
    const { records, isDamaged } = decodeFrames(bytes);
    if (isDamaged) {
      this.#opts.log.warn(
        `segment ${number} ends in an unfinished write; ` +
          `${records.length} records before it are kept`,
      );
    }
    let expiresAt = 0;
    for (const record of records as R[]) {
      expiresAt = Math.max(expiresAt, this.#opts.expiryOf(record));
      onRecord(record);
    }
    this.#segments.push({ number, bytes: bytes.length, expiresAt });
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

/** Makes created, renamed and removed names in a folder durable. */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, "r");
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}
