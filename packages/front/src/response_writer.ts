import { ByteCollector } from "@toucantrestle/memory";
import type { ServerResponse } from "node:http";

/** The part of a caller's response that `ResponseWriter` uses. */
export type WritableResponse = Pick<
  ServerResponse,
  "write" | "writableEnded" | "writableLength" | "writableHighWaterMark"
>;

/** Options of `ResponseWriter`. */
export interface ResponseWriterOptions {
  res: WritableResponse;
  /** Stops what brings the bytes, until the caller has taken some. */
  onFull: () => void;
  /** Lets it go on. */
  onTaken: () => void;
}

/**
 * Most bytes that are kept behind the queue of a response. What brings them is
 * held back long before; a sibling may have sent some megabytes by then.
 */
const MAX_WAITING_BYTES = 16_777_216;

/**
 * Writes the bytes of a body to a caller. They are written at once if the caller
 * has taken all that came before, and else joined until it has, so that the
 * queue of the response has few entries however small the pieces are.
 */
export class ResponseWriter {
  readonly #opts: ResponseWriterOptions;
  readonly #waiting = new ByteCollector({ maxBytes: MAX_WAITING_BYTES });
  /** Writes that the caller has not taken yet. */
  #openWrites = 0;
  #isHeldBack = false;

  constructor(opts: ResponseWriterOptions) {
    this.#opts = opts;
  }

  /** Memory kept behind the queue of the response, in bytes. */
  get keptBytes(): number {
    return this.#waiting.keptBytes;
  }

  /** Writes bytes, now or later. Returns false if too many wait already. */
  write(bytes: Buffer): boolean {
    const { res } = this.#opts;
    const mayWrite = this.#waiting.bytes === 0 &&
      (this.#openWrites === 0 || res.writableLength === 0);
    if (mayWrite) {
      if (!this.#writeNow(bytes)) this.#holdBack();
      return true;
    }
    if (!this.#waiting.push(bytes)) return false;
    const queuedBytes = this.#waiting.bytes + res.writableLength;
    if (queuedBytes >= res.writableHighWaterMark) this.#holdBack();
    return true;
  }

  /** Adds what waits to the queue of the response, at the end of an attempt. */
  flush(): void {
    if (this.#waiting.bytes > 0) this.#writeNow(this.#waiting.take());
  }

  /** Returns whether the queue has room; a response that is over takes none. */
  #writeNow(bytes: Buffer): boolean {
    const { res } = this.#opts;
    if (res.writableEnded) return true;
    this.#openWrites += 1;
    return res.write(bytes, this.#onWritten);
  }

  readonly #onWritten = (err?: Error | null): void => {
    this.#openWrites -= 1;
    if (err || this.#openWrites > 0) return;
    const isFull = this.#waiting.bytes > 0 &&
      !this.#writeNow(this.#waiting.take());
    if (!isFull) this.#letGoOn();
  };

  #holdBack(): void {
    if (this.#isHeldBack) return;
    this.#isHeldBack = true;
    this.#opts.onFull();
  }

  #letGoOn(): void {
    if (!this.#isHeldBack) return;
    this.#isHeldBack = false;
    this.#opts.onTaken();
  }
}
