import type { ResponseSink } from "@toucantrestle/sibling";
import type { Subscription, Timer } from "@toucantrestle/timer";

const FLUSH_INTERVAL_MS = 12;

/**
 * Buffers the chunks of streamed responses for a few milliseconds, so that many
 * small chunks cost one write. The first chunk of a response is written
 * immediately.
 */
export class ChunkBuffer {
  readonly #buffered = new Map<ResponseSink, string>();

  readonly #timer: Timer;
  #pendingFlush: Subscription | undefined;

  constructor(timer: Timer) {
    this.#timer = timer;
  }

  /** Adds a chunk of a response. */
  add(sink: ResponseSink, text: string): void {
    const buffered = this.#buffered.get(sink);
    this.#buffered.set(sink, buffered === undefined ? "" : buffered + text);
    if (buffered === undefined) sink.data(text);
    this.#pendingFlush ??= this.#timer.after(
      FLUSH_INTERVAL_MS,
      () => this.#flushAll(),
    );
  }

  /** Writes the buffered chunks of a response and ends its buffering. */
  flush(sink: ResponseSink): void {
    const buffered = this.#buffered.get(sink);
    this.#buffered.delete(sink);
    if (buffered !== undefined && buffered !== "") sink.data(buffered);
  }

  #flushAll(): void {
    this.#pendingFlush = undefined;
    for (const [sink, buffered] of this.#buffered) {
      if (buffered === "") this.#buffered.delete(sink);
      else {
        sink.data(buffered);
        this.#buffered.set(sink, "");
      }
    }
    if (this.#buffered.size === 0) return;
    this.#pendingFlush = this.#timer.after(
      FLUSH_INTERVAL_MS,
      () => this.#flushAll(),
    );
  }
}
