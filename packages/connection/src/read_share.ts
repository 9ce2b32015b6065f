import { Turns } from "./turns.ts";

/** Options of `ReadShare`. */
export interface ReadShareOptions {
  /** Monotonic clock, in ms. */
  now: () => number;
  /** Stops reading the connection. */
  pause: () => void;
  /** Reads the connection again. */
  resume: () => void;
}

/**
 * A connection whose bytes take longer than this to handle, in ms, is read on
 * in a later turn of the event loop: others have bytes or callers waiting.
 */
const MAX_TURN_MS = 1;
/** Those of all connections, as they share the event loop. */
const turns = new Turns();

/**
 * Keeps one connection from taking the event loop for itself. The runtime would
 * hand over up to 32 reads of it in a row, also if its reader holds it back at
 * each and takes it on before the next.
 */
export class ReadShare {
  readonly #opts: ReadShareOptions;
  /** Whether the reader does not want more bytes now. */
  #isHeld = false;
  /** Whether others come first. */
  #isYielding = false;
  #startedAt = 0;
  /** When the last bytes were handled, on the clock. */
  #handledAt = -Infinity;
  /** Time that handling has taken since others last had a turn, in ms. */
  #busyMs = 0;

  constructor(opts: ReadShareOptions) {
    this.#opts = opts;
  }

  /** Called before the bytes of a read are handled. */
  begin(): void {
    this.#startedAt = this.#opts.now();
    const hasOthersBetween = this.#startedAt - this.#handledAt > MAX_TURN_MS;
    if (hasOthersBetween) this.#busyMs = 0;
  }

  /** Called once they are handled. */
  end(): void {
    this.#handledAt = this.#opts.now();
    this.#busyMs += this.#handledAt - this.#startedAt;
    if (this.#busyMs >= MAX_TURN_MS) this.#yieldToOthers();
  }

  /** Stops reading until the reader wants more. */
  hold(): void {
    this.#isHeld = true;
    this.#opts.pause();
  }

  /** Reads on, once it is the connection's turn. */
  release(): void {
    if (!this.#isHeld) return;
    this.#isHeld = false;
    if (!this.#isYielding) this.#opts.resume();
  }

  #yieldToOthers(): void {
    if (this.#isYielding) return;
    this.#isYielding = true;
    this.#busyMs = 0;
    this.#opts.pause();
    turns.add(() => {
      this.#isYielding = false;
      if (!this.#isHeld) this.#opts.resume();
    });
  }
}
