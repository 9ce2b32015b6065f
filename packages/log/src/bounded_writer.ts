import process from "node:process";

/** Destination of log lines, such as a writable stream. */
export interface LineSink {
  write(text: string): unknown;
  /** Number of buffered bytes that the reader has not consumed yet. */
  readonly writableLength: number;
}

/** Severity of a line. Failures have higher limits than routine lines. */
export type LineSeverity = "routine" | "failure";

/** Maximum lines per second of one kind of event. */
const MAX_LINES_PER_SECOND: Record<LineSeverity, number> = {
  routine: 60,
  failure: 200,
};
/** Maximum bytes in the buffer of the sink before lines are dropped. */
const MAX_BUFFERED_BYTES: Record<LineSeverity, number> = {
  routine: 262_144,
  failure: 524_288,
};
const RATE_WINDOW_MS = 1_000;

/**
 * Writes lines with a rate limit per kind of event and a limit on the buffer of
 * the sink. Drops and counts the lines that exceed a limit, so that a slow
 * reader does not block the process.
 */
export class BoundedWriter {
  readonly #sink: LineSink;
  readonly #now: () => number;
  readonly #formatDropped: (counts: Record<string, number>) => string;
  #windowStart = 0;
  #writtenByKind = new Map<string, number>();
  #droppedByKind = new Map<string, number>();
  #totalDropped = 0;

  constructor(
    opts: {
      sink?: LineSink;
      now: () => number;
      /** Formats the line that reports the dropped lines per kind. */
      formatDropped: (counts: Record<string, number>) => string;
    },
  ) {
    this.#sink = opts.sink ?? process.stdout;
    this.#now = opts.now;
    this.#formatDropped = opts.formatDropped;
  }

  /** Returns the total number of dropped lines. */
  get droppedCount(): number {
    return this.#totalDropped;
  }

  /** Writes a line, or drops it if its kind or the sink is over its limit. */
  write(kind: string, severity: LineSeverity, formatLine: () => string): void {
    this.#startWindowIfDue();
    const written = this.#writtenByKind.get(kind) ?? 0;
    const isSinkFull = this.#sink.writableLength > MAX_BUFFERED_BYTES[severity];
    if (isSinkFull || written >= MAX_LINES_PER_SECOND[severity]) {
      this.#droppedByKind.set(kind, (this.#droppedByKind.get(kind) ?? 0) + 1);
      this.#totalDropped += 1;
      return;
    }
    this.#writtenByKind.set(kind, written + 1);
    this.#sink.write(formatLine());
  }

  #startWindowIfDue(): void {
    const now = this.#now();
    if (now - this.#windowStart < RATE_WINDOW_MS) return;
    this.#windowStart = now;
    this.#writtenByKind = new Map();
    if (this.#droppedByKind.size === 0) return;
    if (this.#sink.writableLength > MAX_BUFFERED_BYTES.failure) return;
    const counts = Object.fromEntries(this.#droppedByKind);
    this.#droppedByKind = new Map();
    this.#sink.write(this.#formatDropped(counts));
  }
}
