import { Packr } from "msgpackr";
import type { RawData, WebSocket } from "ws";
import type { SiblingMessage } from "./messages.ts";

/** Bytes that may wait in a socket before data messages are held back. */
const MAX_BUFFERED_BYTES = 4_000_000;
/** Messages that may be held back before the link is given up. */
const MAX_HELD_MESSAGES = 20_000;
const RETRY_HELD_MS = 5;

const CONTROL_TYPES = new Set<SiblingMessage["t"]>([
  "hello",
  "heartbeat",
  "rpc",
  "rpc_result",
  "rpc_failure",
]);

/**
 * Typed messages over one socket. Control messages go before data when the
 * socket is congested; a link with too much held back is closed.
 */
export class Wire {
  readonly #socket: WebSocket;
  readonly #packr = new Packr({
    useRecords: false,
  });
  readonly #isCut: () => boolean;
  readonly #onSent: (bytes: number) => void;
  #held: SiblingMessage[] = [];
  #retry: NodeJS.Timeout | undefined;

  constructor(
    opts: {
      socket: WebSocket;
      /** True while messages must be lost as if the network were cut. */
      isCut: () => boolean;
      onMessage: (message: SiblingMessage) => void;
      /** Called with the size of each message that is sent. */
      onSent: (bytes: number) => void;
      onClose: () => void;
    },
  ) {
    this.#socket = opts.socket;
    this.#isCut = opts.isCut;
    this.#onSent = opts.onSent;
    this.#socket.on("message", (data: RawData) => {
      if (this.#isCut()) return;
      opts.onMessage(this.#unpack(data));
    });
    this.#socket.on("close", () => {
      clearTimeout(this.#retry);
      opts.onClose();
    });
    this.#socket.on("error", () => this.#socket.terminate());
  }

  /** Sends a message, or loses it when the link has closed or is cut. */
  send(message: SiblingMessage): void {
    if (this.#isCut()) return;
    const mayPass = CONTROL_TYPES.has(message.t) || this.#hasSpace();
    if (mayPass && this.#held.length === 0) this.#write(message);
    else if (CONTROL_TYPES.has(message.t)) this.#write(message);
    else this.#hold(message);
  }

  close(): void {
    this.#socket.terminate();
  }

  #hasSpace(): boolean {
    return this.#socket.bufferedAmount < MAX_BUFFERED_BYTES;
  }

  #write(message: SiblingMessage): void {
    if (this.#socket.readyState !== this.#socket.OPEN) return;
    const packed = this.#packr.pack(message);
    this.#onSent(packed.length);
    this.#socket.send(packed);
  }

  #hold(message: SiblingMessage): void {
    if (this.#held.length >= MAX_HELD_MESSAGES) return this.close();
    this.#held.push(message);
    this.#retry ??= setTimeout(() => this.#drain(), RETRY_HELD_MS);
  }

  #drain(): void {
    this.#retry = undefined;
    while (this.#held.length > 0 && this.#hasSpace()) {
      this.#write(this.#held.shift() as SiblingMessage);
    }
    if (this.#held.length > 0) {
      this.#retry = setTimeout(() => this.#drain(), RETRY_HELD_MS);
    }
  }

  #unpack(data: RawData): SiblingMessage {
    return this.#packr.unpack(data as Uint8Array) as SiblingMessage;
  }
}
