import type { AnswerSink } from "@toucantrestle/sibling";
import type { Subscription, Timer } from "@toucantrestle/timer";

const FLUSH_MS = 12;

/**
 * Gathers the pieces of streamed answers for a few milliseconds, so that many
 * small pieces cost one write. The first piece of an answer goes at once.
 */
export class PieceBuffer {
  readonly #held = new Map<AnswerSink, string>();

  readonly #timer: Timer;
  #next: Subscription | undefined;

  constructor(timer: Timer) {
    this.#timer = timer;
  }

  /** Adds a piece of an answer. */
  add(sink: AnswerSink, text: string): void {
    const held = this.#held.get(sink);
    this.#held.set(sink, held === undefined ? "" : held + text);
    if (held === undefined) sink.data(text);
    this.#next ??= this.#timer.after(FLUSH_MS, () => this.#flushAll());
  }

  /** Writes what is held of an answer, which takes no more pieces. */
  flush(sink: AnswerSink): void {
    const held = this.#held.get(sink);
    this.#held.delete(sink);
    if (held !== undefined && held !== "") sink.data(held);
  }

  #flushAll(): void {
    this.#next = undefined;
    for (const [sink, held] of this.#held) {
      if (held === "") this.#held.delete(sink);
      else {
        sink.data(held);
        this.#held.set(sink, "");
      }
    }
    if (this.#held.size === 0) return;
    this.#next = this.#timer.after(FLUSH_MS, () => this.#flushAll());
  }
}
