import { Buffer } from "node:buffer";

/** Size of the buffer in which pieces are joined, in bytes. */
const JOINED_BYTES = 65_536;

/** Up to this size, in bytes, a loop copies faster than a call of the runtime. */
const MAX_LOOP_BYTES = 32;

/** Shared by all joiners, as each is emptied before its read is over. */
const joined = Buffer.allocUnsafeSlow(JOINED_BYTES);

/**
 * Joins the pieces of a body that one read brings, such as its chunks. A piece
 * alone is passed on as a view of the read; several are copied together, so
 * that a small piece costs no object of its own.
 */
export class BodyJoiner {
  readonly #onPart: (bytes: Buffer) => void;
  /** The only piece so far, as a part of its input. */
  #input: Buffer | undefined;
  #start = 0;
  #end = 0;
  /** Bytes that are copied together. */
  #joinedBytes = 0;

  constructor(onPart: (bytes: Buffer) => void) {
    this.#onPart = onPart;
  }

  /** Adds the piece of `input` between two indices. */
  push(input: Buffer, start: number, end: number): void {
    if (!this.#input && this.#joinedBytes === 0) {
      this.#input = input;
      this.#start = start;
      this.#end = end;
      return;
    }
    this.#joinOnly();
    this.#join(input, start, end);
  }

  /** Passes on what was joined. To be called at the end of each read. */
  flush(): void {
    const part = this.#takePart();
    if (part) this.#onPart(part);
  }

  #takePart(): Buffer | undefined {
    const input = this.#input;
    this.#input = undefined;
    if (input) return input.subarray(this.#start, this.#end);
    if (this.#joinedBytes === 0) return undefined;
    const part = Buffer.from(joined.subarray(0, this.#joinedBytes));
    this.#joinedBytes = 0;
    return part;
  }

  #joinOnly(): void {
    const input = this.#input;
    if (!input) return;
    this.#input = undefined;
    this.#join(input, this.#start, this.#end);
  }

  #join(input: Buffer, start: number, end: number): void {
    const bytes = end - start;
    if (this.#joinedBytes + bytes > JOINED_BYTES) this.flush();
    const at = this.#joinedBytes;
    this.#joinedBytes += bytes;
    if (bytes > MAX_LOOP_BYTES) input.copy(joined, at, start, end);
    else copyBytes(input, { at, start, end });
  }
}

function copyBytes(
  input: Buffer,
  { at, start, end }: { at: number; start: number; end: number },
): void {
  for (let i = start; i < end; i++) {
    joined[at + i - start] = input[i] as number;
  }
}
