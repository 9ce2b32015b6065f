import { ReadShare } from "@toucantrestle/connection";
import type { MemoryHolders } from "@toucantrestle/memory";
import type { Timer } from "@toucantrestle/timer";
import { Packr } from "msgpackr";
import type { Socket } from "node:net";
import type { WebSocket } from "ws";
import type { LinkMessage } from "./messages.ts";

/** The link is closed when more than this is kept of messages not sent. */
const MAX_KEPT_UNSENT_BYTES = 32_000_000;
/** Memory of a message in a queue beside its bytes. */
const ENTRY_OVERHEAD_BYTES = 1_024;
/** Nothing more is read while more than this is not sent or not handled. */
const MAX_UNSENT_MESSAGES = 2_000;
const MAX_UNSENT_BYTES = 8_000_000;
const MAX_REQUESTS = 10_000;
const MAX_REQUEST_BYTES = 32_000_000;

/**
 * Limits of `ws` for what it collects of a message: its frames, of which
 * senders here use one, and the reads that a frame came in.
 */
export const RECEIVER_LIMITS = { maxFragments: 16, maxBufferedChunks: 16_384 };

const packr = new Packr({ useRecords: false });

/** Options of `LinkSocket`. */
export interface LinkSocketOptions {
  /** What keeps memory for peers; the socket is one of them until it closes. */
  holders: MemoryHolders | undefined;
  /** Largest message that the remote process takes; it closes the link for more. */
  maxSentBytes?: number;
  timer: Timer;
}

/** One connection of a link, with what is kept for the process behind it. */
export class LinkSocket {
  readonly #socket: WebSocket;
  readonly #maxSentBytes: number;
  readonly #reading: ReadShare;
  #unsentCount = 0;
  #requestCount = 0;
  #requestBytes = 0;
  /** Connection below; undefined before it is open. */
  #transport: Socket | undefined;
  /** Bytes that had been read from it when the last message was whole. */
  #wholeBytes = 0;

  constructor(
    socket: WebSocket,
    { holders, maxSentBytes = Infinity, timer }: LinkSocketOptions,
  ) {
    this.#socket = socket;
    this.#reading = new ReadShare({
      now: () => timer.monotonicNow(),
      pause: () => socket.pause(),
      resume: () => socket.resume(),
    });
    this.#maxSentBytes = maxSentBytes;
    const remove = holders?.add({
      purpose: "link_messages",
      keptBytes: () => this.keptBytes,
      cut: () => socket.terminate(),
    });
    if (remove) socket.once("close", remove);
  }

  /** Bytes that the operating system has not taken yet. */
  get bufferedBytes(): number {
    return this.#socket.bufferedAmount;
  }

  /**
   * Memory of messages that are not sent, of requests that are handled, and of
   * the message that arrives.
   */
  get keptBytes(): number {
    return this.#unsentBytes + this.#requestBytes + this.#arrivingBytes +
      this.#requestCount * ENTRY_OVERHEAD_BYTES;
  }

  get #unsentBytes(): number {
    return this.bufferedBytes + this.#unsentCount * ENTRY_OVERHEAD_BYTES;
  }

  get #arrivingBytes(): number {
    return (this.#transport?.bytesRead ?? 0) - this.#wholeBytes;
  }

  /** Called once the connection below is handed to the socket. */
  onOpen(transport: Socket): void {
    this.#transport = transport;
    this.#wholeBytes = transport.bytesRead;
    // Around the listener of the socket, which handles all messages of a read.
    transport.prependListener("data", () => this.#reading.begin());
    transport.on("data", () => this.#reading.end());
  }

  /** Called when a message has arrived. */
  onMessage(): void {
    this.#wholeBytes = this.#transport?.bytesRead ?? 0;
  }

  /**
   * Sends a message, or drops it if the socket is not open. Closes the socket if
   * the remote process reads too slowly. `onSent` is called once the message has
   * been handed to the operating system, or is dropped. Returns false if the
   * message is too large, and drops that alone.
   */
  send(message: LinkMessage, onSent: () => void = () => {}): boolean {
    const socket = this.#socket;
    const isOpen = socket.readyState === socket.OPEN;
    if (isOpen && this.#unsentBytes <= MAX_KEPT_UNSENT_BYTES) {
      const packed = packr.pack(message);
      if (packed.length <= this.#maxSentBytes) {
        this.#write(packed, onSent);
        return true;
      }
      onSent();
      return false;
    }
    if (isOpen) socket.terminate();
    onSent();
    return true;
  }

  #write(packed: Uint8Array, onSent: () => void): void {
    this.#unsentCount += 1;
    this.#socket.send(packed, () => {
      this.#unsentCount -= 1;
      this.#resumeIfCaughtUp();
      onSent();
    });
  }

  /** Counts a request as kept until the result is called. */
  beginRequest(bytes: number): () => void {
    this.#requestCount += 1;
    this.#requestBytes += bytes;
    return () => {
      this.#requestCount -= 1;
      this.#requestBytes -= bytes;
      this.#resumeIfCaughtUp();
    };
  }

  /**
   * Reads nothing more from a remote process that does not read what it is sent,
   * or asks for more than is handled, until it has caught up.
   */
  holdBackIfBehind(): void {
    if (this.#isBehind) this.#reading.hold();
  }

  terminate(): void {
    this.#socket.terminate();
  }

  #resumeIfCaughtUp(): void {
    if (!this.#isBehind) this.#reading.release();
  }

  get #isBehind(): boolean {
    return this.#unsentCount > MAX_UNSENT_MESSAGES ||
      this.bufferedBytes > MAX_UNSENT_BYTES ||
      this.#requestCount > MAX_REQUESTS ||
      this.#requestBytes > MAX_REQUEST_BYTES;
  }
}
