import { MemoryHolders } from "@toucantrestle/memory";
import { Packr } from "msgpackr";
import type { RawData, WebSocket } from "ws";
import type { SiblingMessage } from "./messages.ts";

/** Data messages are queued while the socket has this many bytes buffered. */
const MAX_BUFFERED_BYTES = 4_000_000;
/** The link is closed when this many messages or bytes are queued. */
const MAX_QUEUED_MESSAGES = 20_000;
const MAX_QUEUED_BYTES = 32_000_000;
/** The link is closed when a sibling has not read this many bytes. */
const MAX_UNREAD_BYTES = 64_000_000;
const QUEUE_RETRY_DELAY_MS = 5;

const CONTROL_TYPES = new Set<SiblingMessage["t"]>([
  "hello",
  "heartbeat",
  "rpc",
  "rpc_result",
  "rpc_failure",
]);

/** Options of `SiblingChannel`. */
export interface SiblingChannelOptions {
  socket: WebSocket;
  /** Whether to drop all messages, which simulates a network partition. */
  isCut: () => boolean;
  onMessage: (message: SiblingMessage) => void;
  /**
   * Called before the link is closed because a message is malformed or cannot
   * be handled.
   */
  onUnusable: (reason: string) => void;
  /** Called with the size of each sent message in bytes. */
  onSent: (bytes: number) => void;
  onClose: () => void;
  /** Where unsent messages are counted. */
  holders?: MemoryHolders | undefined;
}

/**
 * Typed messages over one socket. While the socket is congested, data messages
 * are queued and control messages overtake them. The link is closed when the
 * queue is full or the sibling reads nothing.
 */
export class SiblingChannel {
  readonly #socket: WebSocket;
  readonly #packr = new Packr({
    useRecords: false,
  });
  readonly #isCut: () => boolean;
  readonly #onSent: (bytes: number) => void;
  /** Packed messages. */
  readonly #queue: Uint8Array[] = [];
  #queuedBytes = 0;
  #retryTimer: NodeJS.Timeout | undefined;

  constructor(opts: SiblingChannelOptions) {
    const { holders = new MemoryHolders() } = opts;
    const removeHolder = holders.add({
      purpose: "link_messages",
      keptBytes: () => this.#queuedBytes + this.#socket.bufferedAmount,
      cut: () => this.close(),
    });
    this.#socket = opts.socket;
    this.#isCut = opts.isCut;
    this.#onSent = opts.onSent;
    this.#socket.on("message", (data: RawData) => {
      if (this.#isCut()) return;
      const message = this.#unpack(data, opts.onUnusable);
      if (message) this.#handle(message, opts);
      else this.close();
    });
    this.#socket.on("close", () => {
      clearTimeout(this.#retryTimer);
      removeHolder();
      opts.onClose();
    });
    this.#socket.on("error", () => this.#socket.terminate());
  }

  /** Sends a message, or drops it if the link is closed or cut. */
  send(message: SiblingMessage): void {
    if (this.#isCut() || this.#socket.readyState !== this.#socket.OPEN) return;
    const packed = this.#packr.pack(message);
    if (CONTROL_TYPES.has(message.t)) this.#writeControl(packed);
    else if (this.#queue.length === 0 && this.#hasBufferSpace()) {
      this.#write(packed);
    } else this.#enqueue(packed);
  }

  /** Whether a message waits to be sent; a closed link sends none. */
  get hasUnsent(): boolean {
    const isOpen = this.#socket.readyState === this.#socket.OPEN;
    return isOpen &&
      (this.#queue.length > 0 || this.#socket.bufferedAmount > 0);
  }

  close(): void {
    this.#socket.terminate();
  }

  #hasBufferSpace(): boolean {
    return this.#socket.bufferedAmount < MAX_BUFFERED_BYTES;
  }

  #writeControl(packed: Uint8Array): void {
    if (this.#socket.bufferedAmount > MAX_UNREAD_BYTES) this.close();
    else this.#write(packed);
  }

  #write(packed: Uint8Array): void {
    if (this.#socket.readyState !== this.#socket.OPEN) return;
    this.#onSent(packed.length);
    this.#socket.send(packed);
  }

  #enqueue(packed: Uint8Array): void {
    this.#queuedBytes += packed.length;
    this.#queue.push(packed);
    const isFull = this.#queue.length > MAX_QUEUED_MESSAGES ||
      this.#queuedBytes > MAX_QUEUED_BYTES;
    if (isFull) return this.close();
    this.#retryTimer ??= setTimeout(
      () => this.#flushQueue(),
      QUEUE_RETRY_DELAY_MS,
    );
  }

  #flushQueue(): void {
    this.#retryTimer = undefined;
    while (this.#queue.length > 0 && this.#hasBufferSpace()) {
      const packed = this.#queue.shift() as Uint8Array;
      this.#queuedBytes -= packed.length;
      this.#write(packed);
    }
    if (this.#queue.length > 0) {
      this.#retryTimer = setTimeout(
        () => this.#flushQueue(),
        QUEUE_RETRY_DELAY_MS,
      );
    }
  }

  /**
   * Handles a message; what goes wrong concerns its sender alone, whose link
   * must not go on with a gap.
   */
  #handle(
    message: SiblingMessage,
    { onMessage, onUnusable }: {
      onMessage: (message: SiblingMessage) => void;
      onUnusable: (reason: string) => void;
    },
  ): void {
    try {
      onMessage(message);
    } catch (err) {
      const text = err instanceof Error ? err.stack : String(err);
      onUnusable(`cannot handle its ${message.t}: ${text}`);
      this.close();
    }
  }

  #unpack(
    data: RawData,
    onUnusable: (reason: string) => void,
  ): SiblingMessage | undefined {
    try {
      return this.#packr.unpack(data as Uint8Array) as SiblingMessage;
    } catch (err) {
      const text = err instanceof Error ? err.message : String(err);
      onUnusable(`its message is malformed: ${text}`);
      return undefined;
    }
  }
}
