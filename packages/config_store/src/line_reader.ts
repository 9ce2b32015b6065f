import { ByteCollector } from "@toucantrestle/memory";

/** A line exceeds the bound. */
export class LineTooLongError extends Error {
  override readonly name = "LineTooLongError";
}

const LINE_END = 10;

/** Splits bytes into lines. A line that is not complete is kept as bytes. */
export class LineReader {
  readonly #maxBytes: number;
  readonly #partial: ByteCollector;

  constructor({ maxBytes }: { maxBytes: number }) {
    this.#maxBytes = maxBytes;
    this.#partial = new ByteCollector({ maxBytes });
  }

  /** Memory that is kept for a line that is not complete, in bytes. */
  get keptBytes(): number {
    return this.#partial.keptBytes;
  }

  /**
   * Returns the lines that a piece completes, without their ends.
   *
   * @throws {LineTooLongError} if a line exceeds the bound
   */
  *read(piece: Uint8Array): Generator<string> {
    let start = 0;
    let end = piece.indexOf(LINE_END);
    while (end >= 0) {
      this.#keep(piece.subarray(start, end));
      yield this.#partial.takeText();
      start = end + 1;
      end = piece.indexOf(LINE_END, start);
    }
    this.#keep(piece.subarray(start));
  }

  #keep(bytes: Uint8Array): void {
    if (bytes.length === 0 || this.#partial.push(bytes)) return;
    throw new LineTooLongError(`line exceeds ${this.#maxBytes} bytes`);
  }
}
