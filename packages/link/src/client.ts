import type { Logger } from "@toucantrestle/log";
import type { MemoryHolders } from "@toucantrestle/memory";
import {
  readArrived,
  type Subscription,
  type Timer,
} from "@toucantrestle/timer";
import type { Socket } from "node:net";
import { WebSocket } from "ws";
import { isLinkAddress } from "./address.ts";
import {
  decodeMessage,
  DEFAULT_LIMITS,
  type MessageLimits,
} from "./decode_message.ts";
import { LinkError } from "./errors.ts";
import { LinkSocket, RECEIVER_LIMITS } from "./link_socket.ts";
import { redialDelayMs } from "./redial.ts";
import type {
  LinkMessage,
  MethodTable,
  NoticeTable,
  StreamTable,
} from "./messages.ts";

/** Options of a link that this process dials. */
export interface LinkClientOptions {
  /** Name of this host. */
  self: string;
  /** `IP:PORT` of the remote process. Another text is never dialled. */
  address: string;
  timer: Timer;
  log: Logger;
  /** Returns the time between pings; default 500 ms. */
  pingIntervalMs?: () => number;
  /**
   * Returns when something else has last shown that the remote process receives
   * what is sent over this link, in ms on the monotonic clock.
   */
  confirmedAt?: () => number;
  onOpen?: () => void;
  onLost?: () => void;
  /** Bounds of what the remote process may send. */
  limits?: MessageLimits;
  /** What keeps memory for peers. */
  holders?: MemoryHolders;
}

/** Callbacks of a stream. After `onEnd` or `onLost` nothing follows. */
export interface StreamHandlers<Part> {
  onPart(part: Part): void;
  onEnd(): void;
  /** The link is down or was lost before the end of the stream. */
  onLost(): void;
}

/** Sends controls to the remote side of a stream. */
export interface StreamControl<Control> {
  send(control: Control): void;
}

/** A caller of `waitUntilOpen`. */
interface OpenWaiter {
  resolve: () => void;
  reject: (err: Error) => void;
  timeout: Subscription;
}

interface PendingRequest {
  resolve: (result: unknown) => void;
  reject: (err: Error) => void;
  timeout: Subscription;
}

const DEFAULT_PING_INTERVAL_MS = 500;
/**
 * A connection on which nothing was received for this multiple of the ping
 * interval is closed.
 */
const SILENCE_FACTOR = 2.6;
const HANDSHAKE_TIMEOUT_MS = 500;
const MAX_LOGGED_ADDRESS_LENGTH = 100;

/** Client side of a link. Reconnects whenever the connection is lost. */
export class LinkClient<
  M extends MethodTable,
  N extends NoticeTable,
  S extends StreamTable = Record<never, never>,
> {
  readonly #opts: LinkClientOptions;
  readonly #pending = new Map<number, PendingRequest>();
  readonly #streams = new Map<number, StreamHandlers<unknown>>();
  readonly #openWaiters = new Set<OpenWaiter>();
  #socket: LinkSocket | undefined;
  #isOpen = false;
  #isClosed = false;
  #lastReceivedAt = 0;
  #nextId = 1;
  /** When the link went down, or when it was created if it was never open. */
  #downSince: number;
  #pingTimer: Subscription | undefined;

  constructor(opts: LinkClientOptions) {
    this.#opts = opts;
    this.#downSince = opts.timer.monotonicNow();
    if (isLinkAddress(opts.address)) this.#dial();
    else this.#logInvalidAddress();
  }

  /** Whether the link is connected. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  get address(): string {
    return this.#opts.address;
  }

  /** Whether no request and no stream is in progress. */
  get isIdle(): boolean {
    return this.#pending.size === 0 && this.#streams.size === 0;
  }

  /**
   * Resolves when the link is connected.
   *
   * @throws {LinkError} if it is not within `timeoutMs`, or is closed
   */
  waitUntilOpen(timeoutMs: number): Promise<void> {
    if (this.#isOpen) return Promise.resolve();
    return new Promise((resolve, reject) => {
      const timeout = this.#opts.timer.after(timeoutMs, () => {
        this.#openWaiters.delete(waiter);
        reject(
          new LinkError(
            `link to ${this.address} is not open after ${timeoutMs} ms`,
          ),
        );
      });
      const waiter: OpenWaiter = { resolve, reject, timeout };
      this.#openWaiters.add(waiter);
    });
  }

  /**
   * Sends a request and waits for its result.
   *
   * @throws {LinkError} if the link is down or is lost, if the request is too
   * large, if there is no result within `timeoutMs`, or if the remote handler
   * fails
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
      const timeout = this.#opts.timer.after(timeoutMs, async () => {
        await readArrived();
        if (!this.#pending.delete(id)) return;
        reject(
          new LinkError(
            `request "${name}" to ${this.address} timed out after ${timeoutMs} ms`,
          ),
        );
      });
      this.#pending.set(id, { resolve, reject, timeout });
      if (socket.send({ t: "request", id, name, args })) return;
      this.#pending.delete(id);
      timeout.cancel();
      reject(
        new LinkError(`request "${name}" to ${this.address} is too large`),
      );
    });
  }

  /** Sends a notice, or drops it if the link is down. */
  notify<K extends keyof N & string>(name: K, body: N[K]): void {
    if (!this.#isOpen || !this.#socket) return;
    this.#socket.send({ t: "notice", name, body });
  }

  /**
   * Opens a stream. Returns undefined, without any callback, if the link is down
   * or the arguments are too large.
   */
  open<K extends keyof S & string>(
    name: K,
    args: S[K]["args"],
    handlers: StreamHandlers<S[K]["part"]>,
  ): StreamControl<S[K]["control"]> | undefined {
    const socket = this.#socket;
    if (!this.#isOpen || !socket) return undefined;
    const id = this.#nextId++;
    this.#streams.set(id, handlers as StreamHandlers<unknown>);
    if (!socket.send({ t: "open", id, name, args })) {
      this.#streams.delete(id);
      return undefined;
    }
    return {
      send: (body) => {
        if (!this.#streams.has(id)) return;
        socket.send({ t: "control", id, body });
      },
    };
  }

  /** Closes the link permanently. Pending requests and streams fail. */
  close(): void {
    this.#isClosed = true;
    this.#pingTimer?.cancel();
    this.#socket?.terminate();
    for (const waiter of this.#takeOpenWaiters()) {
      waiter.reject(new LinkError(`link to ${this.address} is closed`));
    }
  }

  #logInvalidAddress(): void {
    const { address, log } = this.#opts;
    const shown = JSON.stringify(address.slice(0, MAX_LOGGED_ADDRESS_LENGTH));
    log.warn(`link address ${shown} is invalid; not dialled`);
  }

  #takeOpenWaiters(): OpenWaiter[] {
    const waiters = [...this.#openWaiters];
    this.#openWaiters.clear();
    for (const { timeout } of waiters) timeout.cancel();
    return waiters;
  }

  #dial(): void {
    if (this.#isClosed) return;
    const { holders, limits = DEFAULT_LIMITS } = this.#opts;
    const socket = new WebSocket(`ws://${this.address}`, {
      handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
      perMessageDeflate: false,
      maxPayload: limits.maxBytes,
      ...RECEIVER_LIMITS,
    });
    const linkSocket = new LinkSocket(socket, {
      holders,
      maxSentBytes: DEFAULT_LIMITS.maxBytes,
      timer: this.#opts.timer,
    });
    this.#socket = linkSocket;
    let transport: Socket;
    socket.on("upgrade", (res) => transport = res.socket);
    socket.on("open", () => {
      linkSocket.onOpen(transport);
      this.#onOpen(linkSocket);
    });
    socket.on("message", (data) => {
      linkSocket.onMessage();
      const message = decodeMessage(data as Uint8Array, limits);
      if (!message) return socket.terminate();
      this.#handle(linkSocket, message);
    });
    socket.on("error", () => socket.terminate());
    socket.on("close", () => this.#onClose());
  }

  #onOpen(socket: LinkSocket): void {
    this.#isOpen = true;
    this.#lastReceivedAt = this.#opts.timer.monotonicNow();
    socket.send({ t: "hello", host: this.#opts.self });
    this.#schedulePing();
    this.#call(this.#opts.onOpen);
    for (const waiter of this.#takeOpenWaiters()) waiter.resolve();
  }

  #onClose(): void {
    const wasOpen = this.#isOpen;
    this.#isOpen = false;
    this.#pingTimer?.cancel();
    this.#rejectPending();
    this.#loseStreams();
    if (this.#isClosed) return;
    const now = this.#opts.timer.monotonicNow();
    if (wasOpen) {
      this.#downSince = now;
      this.#call(this.#opts.onLost);
    }
    const delayMs = redialDelayMs(now - this.#downSince);
    this.#opts.timer.after(delayMs, () => this.#dial());
  }

  #schedulePing(): void {
    const intervalMs = this.#opts.pingIntervalMs?.() ??
      DEFAULT_PING_INTERVAL_MS;
    const dueAt = this.#opts.timer.monotonicNow() + intervalMs;
    this.#pingTimer = this.#opts.timer.afterAbout(intervalMs, () => {
      this.#excuseSilence(this.#opts.timer.monotonicNow() - dueAt, intervalMs);
      this.#pingOrClose(intervalMs);
    });
  }

  /** A process that did not run itself received nothing; that is no silence. */
  #excuseSilence(lateMs: number, intervalMs: number): void {
    if (lateMs >= intervalMs) this.#lastReceivedAt += lateMs;
  }

  #pingOrClose(intervalMs: number): void {
    if (!this.#socket) return;
    const { timer, confirmedAt } = this.#opts;
    const confirmed = confirmedAt?.() ?? -Infinity;
    this.#lastReceivedAt = Math.max(this.#lastReceivedAt, confirmed);
    const silentMs = timer.monotonicNow() - this.#lastReceivedAt;
    if (silentMs > SILENCE_FACTOR * intervalMs) {
      this.#socket.terminate();
      return;
    }
    // Any message shows that the link works.
    if (silentMs >= intervalMs) this.#socket.send({ t: "ping" });
    this.#schedulePing();
  }

  #rejectPending(): void {
    for (const pending of this.#pending.values()) {
      pending.timeout.cancel();
      pending.reject(new LinkError(`link to ${this.address} was lost`));
    }
    this.#pending.clear();
  }

  #loseStreams(): void {
    const streams = [...this.#streams.values()];
    this.#streams.clear();
    for (const handlers of streams) this.#call(() => handlers.onLost());
  }

  /** Calls another part. Its error must not keep the link from being used. */
  #call(fn: (() => void) | undefined): void {
    try {
      fn?.();
    } catch (err) {
      const reason = err instanceof Error ? err.stack : String(err);
      this.#opts.log.error(
        `a listener to the link to ${this.address} failed: ${reason}`,
      );
    }
  }

  /** Handles a message; a stream must not go on after one that went wrong. */
  #handle(socket: LinkSocket, message: LinkMessage): void {
    try {
      this.#receive(message);
    } catch (err) {
      const reason = err instanceof Error ? err.stack : String(err);
      this.#opts.log.error(
        `cannot handle a ${message.t} from ${this.address}: ${reason}`,
      );
      // Messages that have been received already follow.
      this.#loseStreams();
      socket.terminate();
    }
  }

  #receive(message: LinkMessage): void {
    this.#lastReceivedAt = this.#opts.timer.monotonicNow();
    if (message.t === "part") {
      this.#streams.get(message.id)?.onPart(message.body);
    } else if (message.t === "end") {
      const handlers = this.#streams.get(message.id);
      this.#streams.delete(message.id);
      handlers?.onEnd();
    }
    if (message.t === "result") {
      this.#removePending(message.id)?.resolve(message.result);
    } else if (message.t === "failure") {
      this.#removePending(message.id)?.reject(new LinkError(message.message));
    }
  }

  #removePending(id: number): PendingRequest | undefined {
    const pending = this.#pending.get(id);
    this.#pending.delete(id);
    pending?.timeout.cancel();
    return pending;
  }
}
