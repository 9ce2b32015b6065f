import { Buffer } from "node:buffer";
import { StringDecoder } from "node:string_decoder";

/** Options of `ByteCollector`. */
export interface ByteCollectorOptions {
  /** Most bytes that are collected; more make the collector overflow. */
  maxBytes: number;
}

/** Size of the first block that holds more than one piece, in bytes. */
const FIRST_BLOCK_BYTES = 1_024;
/** Size up to which blocks grow, in bytes. */
const MAX_BLOCK_BYTES = 65_536;
/** Size from which a piece with memory of its own is kept as it is, in bytes. */
const MIN_KEPT_PIECE_BYTES = 16_384;
/** Memory of a block beside its bytes: its objects and its list entry. */
const BLOCK_OVERHEAD_BYTES = 256;

/**
 * Collects the pieces of one body or message. Small pieces, and those that are
 * cut from larger memory, are copied into blocks of its own: a small piece costs
 * no more than its bytes, and the memory that it was cut from is not kept.
 */
export class ByteCollector {
  readonly #maxBytes: number;
  /** Full blocks, and the last one that is being filled. */
  #blocks: Buffer[] = [];
  /** Bytes in use of the last block. */
  #lastUsed = 0;
  #bytes = 0;
  #capacity = 0;
  #hasOverflowed = false;

  constructor({ maxBytes }: ByteCollectorOptions) {
    this.#maxBytes = maxBytes;
  }

  /** Number of bytes collected. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Memory that is kept for them, in bytes. */
  get keptBytes(): number {
    return this.#capacity + this.#blocks.length * BLOCK_OVERHEAD_BYTES;
  }

  /** Whether more than the most bytes were pushed. */
  get hasOverflowed(): boolean {
    return this.#hasOverflowed;
  }

  /**
   * Appends a piece, which must not change any more. Returns false once there are
   * too many bytes; then nothing is kept any more.
   */
  push(piece: Uint8Array): boolean {
    if (this.#hasOverflowed) return false;
    if (this.#bytes + piece.length > this.#maxBytes) {
      this.clear();
      this.#hasOverflowed = true;
      return false;
    }
    this.#append(piece);
    return true;
  }

  /** Returns all bytes in one buffer of their own, and starts anew. */
  take(): Buffer {
    const bytes = this.#join();
    this.clear();
    return bytes;
  }

  /**
   * Returns all bytes as UTF-8 text, and starts anew. They are not joined
   * before, which would take their size once more.
   */
  takeText(): string {
    const blocks = this.#usedBlocks();
    this.clear();
    if (blocks.length === 1) return (blocks[0] as Buffer).toString();
    const decoder = new StringDecoder("utf8");
    let text = "";
    for (const it of blocks) text += decoder.write(it);
    return text + decoder.end();
  }

  /** Drops all bytes. */
  clear(): void {
    this.#blocks = [];
    this.#lastUsed = 0;
    this.#bytes = 0;
    this.#capacity = 0;
  }

  #append(piece: Uint8Array): void {
    if (isKeptWhole(piece)) this.#keep(piece);
    else this.#copy(piece);
    this.#bytes += piece.length;
  }

  /** Keeps a piece as a block of its own, after what has been filled. */
  #keep(piece: Uint8Array): void {
    const last = this.#blocks.pop();
    if (last) this.#blocks.push(last.subarray(0, this.#lastUsed));
    this.#blocks.push(Buffer.from(piece.buffer));
    this.#lastUsed = piece.length;
    this.#capacity += piece.length;
  }

  #copy(piece: Uint8Array): void {
    const last = this.#blocks.at(-1);
    const room = last ? last.length - this.#lastUsed : 0;
    const fitting = Math.min(room, piece.length);
    if (last && fitting > 0) {
      last.set(piece.subarray(0, fitting), this.#lastUsed);
      this.#lastUsed += fitting;
    }
    if (fitting < piece.length) this.#addBlock(piece.subarray(fitting));
  }

  /** The first block fits its piece: most bodies come in one. */
  #addBlock(piece: Uint8Array): void {
    const wanted = this.#blocks.length === 0 ? 0 : this.#nextBlockBytes();
    const block = Buffer.allocUnsafeSlow(Math.max(piece.length, wanted));
    block.set(piece);
    this.#blocks.push(block);
    this.#lastUsed = piece.length;
    this.#capacity += block.length;
  }

  #nextBlockBytes(): number {
    const doubled = Math.max(FIRST_BLOCK_BYTES, this.#capacity);
    const leftBytes = this.#maxBytes - this.#bytes;
    return Math.min(MAX_BLOCK_BYTES, doubled, Math.max(0, leftBytes));
  }

  #join(): Buffer {
    const blocks = this.#usedBlocks();
    if (blocks.length === 0) return Buffer.alloc(0);
    if (blocks.length === 1) return blocks[0] as Buffer;
    const joined = Buffer.allocUnsafeSlow(this.#bytes);
    let at = 0;
    for (const block of blocks) {
      joined.set(block, at);
      at += block.length;
    }
    return joined;
  }

  /** Returns the blocks without the unused end of the last one. */
  #usedBlocks(): Buffer[] {
    const last = this.#blocks.at(-1);
    if (!last) return [];
    return [...this.#blocks.slice(0, -1), last.subarray(0, this.#lastUsed)];
  }
}

/** Whether a piece is large and is all of the memory that it keeps. */
function isKeptWhole(piece: Uint8Array): boolean {
  return piece.length >= MIN_KEPT_PIECE_BYTES &&
    piece.length === piece.buffer.byteLength;
}
