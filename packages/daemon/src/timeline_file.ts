import type { Logger } from "@toucantrestle/log";
import type { TimelineEvent } from "@toucantrestle/timeline";
import type { Timer } from "@toucantrestle/timer";
import { createWriteStream, mkdirSync, type WriteStream } from "node:fs";
import { dirname } from "node:path";

/** Time after which a file that failed is opened again, in ms. */
const REOPEN_DELAY_MS = 10_000;
/** Events are dropped while this many bytes wait to be written. */
const MAX_BUFFERED_BYTES = 4_000_000;

/** Options of a `TimelineFile`. */
export interface TimelineFileOptions {
  path: string;
  timer: Timer;
  log: Logger;
}

/**
 * Appends timeline events to a file. While it can't be written, events are
 * dropped: the daemon goes on without it and opens it again later.
 */
export class TimelineFile {
  readonly #opts: TimelineFileOptions;
  #stream: WriteStream | undefined;
  #reopenAt = -Infinity;
  #droppedCount = 0;

  constructor(opts: TimelineFileOptions) {
    this.#opts = opts;
  }

  /** Number of events that were not written. */
  get droppedCount(): number {
    return this.#droppedCount;
  }

  append(event: TimelineEvent): void {
    const stream = this.#stream ?? this.#open();
    if (!stream || stream.writableLength > MAX_BUFFERED_BYTES) {
      this.#droppedCount += 1;
      return;
    }
    stream.write(JSON.stringify(event) + "\n", (err) => {
      if (err) this.#droppedCount += 1;
    });
  }

  #open(): WriteStream | undefined {
    const { path, timer } = this.#opts;
    if (timer.monotonicNow() < this.#reopenAt) return undefined;
    try {
      mkdirSync(dirname(path), { recursive: true });
    } catch (err) {
      this.#fail(err);
      return undefined;
    }
    const stream = createWriteStream(path, { flags: "a" });
    stream.on("error", (err) => {
      if (this.#stream === stream) this.#fail(err);
    });
    this.#stream = stream;
    return stream;
  }

  #fail(err: unknown): void {
    const { path, timer, log } = this.#opts;
    this.#stream = undefined;
    this.#reopenAt = timer.monotonicNow() + REOPEN_DELAY_MS;
    const reason = err instanceof Error ? err.message : String(err);
    log.warn(`cannot write the timeline to ${path}: ${reason}`, {
      event: "timeline_unavailable",
      droppedEvents: this.#droppedCount,
    });
  }
}
