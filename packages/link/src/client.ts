import type { Logger } from "@toucantrestle/log";
import type { Subscription, Timer } from "@toucantrestle/timer";
import { WebSocket } from "ws";
import { LinkError } from "./errors.ts";
import { redialPauseMs } from "./redial.ts";
import type { LinkMessage, MethodTable, NoticeTable } from "./messages.ts";
import { readMessage, sendMessage } from "./socket.ts";

/** Settings of a link that this process dials. */
export interface LinkClientOptions {
  /** Name of this host. */
  self: string;
  /** IP and port of the other process. */
  address: string;
  timer: Timer;
  log: Logger;
  onOpen?: () => void;
  onLost?: () => void;
}

interface Pending {
  resolve: (result: unknown) => void;
  reject: (err: Error) => void;
  timeout: Subscription;
}

const PING_MS = 500;
/** A link is given up when nothing has arrived for this long. */
const SILENCE_MS = 1_300;
const HANDSHAKE_TIMEOUT_MS = 500;

/** One link that is dialled again whenever it is lost. */
export class LinkClient<M extends MethodTable, N extends NoticeTable> {
  readonly #opts: LinkClientOptions;
  readonly #pending = new Map<number, Pending>();
  #socket: WebSocket | undefined;
  #isOpen = false;
  #isClosed = false;
  #heardAt = 0;
  #nextId = 1;
  /** When it was first dialled in vain since it was last open. */
  #downSince: number;
  #ping: Subscription | undefined;

  constructor(opts: LinkClientOptions) {
    this.#opts = opts;
    this.#downSince = opts.timer.steady();
    this.#dial();
  }

  /** True while the other process answers. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  get address(): string {
    return this.#opts.address;
  }

  /**
   * Sends a request and waits for its result.
   *
   * @throws {LinkError} when the link is down, lost or silent for `timeoutMs`,
   * or when the other process refused
   */
  request<K extends keyof M & string>(
    name: K,
    args: M[K]["args"],
    timeoutMs: number,
  ): Promise<M[K]["result"]> {
    const socket = this.#socket;
    if (!this.#isOpen || !socket) {
      return Promise.reject(new LinkError(`link to ${this.address} is down`));
    }
    const id = this.#nextId++;
    return new Promise((resolve, reject) => {
      const timeout = this.#opts.timer.after(timeoutMs, () => {
        this.#pending.delete(id);
        reject(new LinkError(`${this.address} did not answer "${name}"`));
      });
      this.#pending.set(id, { resolve, reject, timeout });
      sendMessage(socket, { t: "request", id, name, args });
    });
  }

  /** Sends a notice, or drops it while the link is down. */
  notify<K extends keyof N & string>(name: K, body: N[K]): void {
    if (!this.#isOpen || !this.#socket) return;
    sendMessage(this.#socket, { t: "notice", name, body });
  }

  /** Ends the link for good. */
  close(): void {
    this.#isClosed = true;
    this.#ping?.cancel();
    this.#socket?.terminate();
  }

  #dial(): void {
    if (this.#isClosed) return;
    const socket = new WebSocket(`ws://${this.address}`, {
      handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
      perMessageDeflate: false,
    });
    this.#socket = socket;
    socket.on("open", () => this.#onOpen(socket));
    socket.on("message", (data) => {
      const message = readMessage(data);
      if (message) this.#receive(message);
    });
    socket.on("error", () => socket.terminate());
    socket.on("close", () => this.#onClose());
  }

  #onOpen(socket: WebSocket): void {
    this.#isOpen = true;
    this.#heardAt = this.#opts.timer.steady();
    sendMessage(socket, { t: "hello", host: this.#opts.self });
    this.#ping = this.#opts.timer.every(PING_MS, () => this.#checkSilence());
    this.#opts.onOpen?.();
  }

  #onClose(): void {
    const wasOpen = this.#isOpen;
    this.#isOpen = false;
    this.#ping?.cancel();
    this.#failPending();
    if (this.#isClosed) return;
    const now = this.#opts.timer.steady();
    if (wasOpen) {
      this.#downSince = now;
      this.#opts.onLost?.();
    }
    const pauseMs = redialPauseMs(now - this.#downSince);
    this.#opts.timer.after(pauseMs, () => this.#dial());
  }

  #checkSilence(): void {
    if (!this.#socket) return;
    if (this.#opts.timer.steady() - this.#heardAt > SILENCE_MS) {
      this.#socket.terminate();
      return;
    }
    sendMessage(this.#socket, { t: "ping" });
  }

  #failPending(): void {
    for (const pending of this.#pending.values()) {
      pending.timeout.cancel();
      pending.reject(new LinkError(`link to ${this.address} was lost`));
    }
    this.#pending.clear();
  }

  #receive(message: LinkMessage): void {
    this.#heardAt = this.#opts.timer.steady();
    if (message.t === "result") {
      this.#take(message.id)?.resolve(message.result);
    } else if (message.t === "failure") {
      this.#take(message.id)?.reject(new LinkError(message.message));
    }
  }

  #take(id: number): Pending | undefined {
    const pending = this.#pending.get(id);
    this.#pending.delete(id);
    pending?.timeout.cancel();
    return pending;
  }
}
