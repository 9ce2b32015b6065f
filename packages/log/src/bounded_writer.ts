import process from "node:process";

/** Where lines go. */
export interface LineSink {
  write(text: string): unknown;
  /** Bytes that wait because nobody reads them. */
  readonly writableLength: number;
}

/** Severity of a line; failures keep a line for longer than the rest. */
export type LineSeverity = "routine" | "failure";

/** Lines a second that one kind of event may take. */
const LINES_PER_SECOND: Record<LineSeverity, number> = {
  routine: 60,
  failure: 200,
};
/** Bytes that may wait for a reader before lines are dropped. */
const MAX_WAITING_BYTES: Record<LineSeverity, number> = {
  routine: 262_144,
  failure: 524_288,
};
const WINDOW_MS = 1_000;

/** Writes lines within a bound by kind, and counts what it drops. */
export class BoundedWriter {
  readonly #sink: LineSink;
  readonly #now: () => number;
  readonly #onDropped: (counts: Record<string, number>) => string;
  #windowStart = 0;
  #written = new Map<string, number>();
  #dropped = new Map<string, number>();
  #droppedTotal = 0;

  constructor(
    opts: {
      sink?: LineSink;
      now: () => number;
      /** Makes the line that reports dropped lines by kind. */
      onDropped: (counts: Record<string, number>) => string;
    },
  ) {
    this.#sink = opts.sink ?? process.stdout;
    this.#now = opts.now;
    this.#onDropped = opts.onDropped;
  }

  /** Lines dropped so far. */
  get dropped(): number {
    return this.#droppedTotal;
  }

  /** Writes a line, or drops it when its kind or the sink has no room. */
  write(kind: string, severity: LineSeverity, makeLine: () => string): void {
    this.#turnWindow();
    const written = this.#written.get(kind) ?? 0;
    const isFull = this.#sink.writableLength > MAX_WAITING_BYTES[severity];
    if (isFull || written >= LINES_PER_SECOND[severity]) {
      this.#dropped.set(kind, (this.#dropped.get(kind) ?? 0) + 1);
      this.#droppedTotal += 1;
      return;
    }
    this.#written.set(kind, written + 1);
    this.#sink.write(makeLine());
  }

  #turnWindow(): void {
    const now = this.#now();
    if (now - this.#windowStart < WINDOW_MS) return;
    this.#windowStart = now;
    this.#written = new Map();
    if (this.#dropped.size === 0) return;
    if (this.#sink.writableLength > MAX_WAITING_BYTES.failure) return;
    const counts = Object.fromEntries(this.#dropped);
    this.#dropped = new Map();
    this.#sink.write(this.#onDropped(counts));
  }
}
