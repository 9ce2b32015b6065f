import process from "node:process";

/** Destination of log lines, such as a writable stream. */
export interface LineSink {
  /** Calls `onWritten` with the error if the text could not be written. */
  write(text: string, onWritten?: (err?: Error | null) => void): unknown;
  /** Registers a listener for the errors of writes, if the sink has any. */
  on?(event: "error", listener: (err: Error) => void): unknown;
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
/** Kind under which lines are counted that the sink could not write. */
const UNWRITTEN_KIND = "unwritten";

/**
 * Writes lines with a rate limit per kind of event and a limit on the buffer of
 * the sink. Drops and counts the lines that exceed a limit, so that a slow
 * reader does not block the process, and counts those that the sink could not
 * write, so that neither a reader that is gone nor a full disk ends it.
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
    this.#sink.on?.("error", () => this.#countDropped(UNWRITTEN_KIND));
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
      this.#countDropped(kind);
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
    this.#reportDropped();
  }

  /** Reports the dropped lines; they stay counted if that can't be written. */
  #reportDropped(): void {
    const reported = this.#droppedByKind;
    this.#droppedByKind = new Map();
    const text = this.#formatDropped(Object.fromEntries(reported));
    this.#sink.write(text, (err) => {
      if (!err) return;
      for (const [kind, count] of reported) this.#addDropped(kind, count);
    });
  }

  #countDropped(kind: string): void {
    this.#addDropped(kind, 1);
    this.#totalDropped += 1;
  }

  #addDropped(kind: string, count: number): void {
    this.#droppedByKind.set(kind, (this.#droppedByKind.get(kind) ?? 0) + count);
  }
}
