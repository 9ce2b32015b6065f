import type { Logger } from "@toucantrestle/log";
import type { Timer } from "@toucantrestle/timer";
import { Channel } from "./channel.ts";
import type { ContactListener } from "./contact.ts";
import { type Dial, dialTcp } from "./dial.ts";
import type {
  ExchangeControl,
  ExchangeSender,
  OutgoingRequest,
  ProcessDemand,
  ResponseHandlers,
  ResponseHead,
} from "./exchange.ts";
import {
  ProcessIdentity,
  type ProcessIdentityOptions,
} from "./process_identity.ts";
import { sendProven } from "./proven_exchange.ts";

/** Options of the connections to one upstream. */
export interface ChannelPoolOptions {
  address: string;
  timer: Timer;
  log: Logger;
  /** Opens connections; TCP by default. */
  dial?: Dial;
  contact?: ContactListener;
  /**
   * Whether a request that waited for a new connection may still be sent; it
   * always is by default.
   */
  maySend?: () => boolean;
  /**
   * Returns the request id that a response echoes; undefined if none. A
   * response that echoes no id, or another one, belongs to no request. Missing
   * for upstreams that do not echo ids: the next response is then taken for the
   * one that is due.
   */
  echoedRequestId?: (head: ResponseHead) => string | undefined;
  /** How to tell which process answers; by default any counts as proven. */
  identity?: Omit<ProcessIdentityOptions, "timer"> | undefined;
}

const CONNECT_TIMEOUT_MS = 700;

const NO_LISTENER: ContactListener = {
  onConnected() {},
  onConnectFailed() {},
  onReceived() {},
};

const NO_IDENTITY: Omit<ProcessIdentityOptions, "timer"> = {
  questions: [],
  expectedName: undefined,
  onOther() {},
  isCurrent: () => true,
};

/** Keep-alive connections to one upstream, reused in LIFO order. */
export class ChannelPool implements ExchangeSender {
  readonly #opts: ChannelPoolOptions;
  readonly #channels = new Set<Channel>();
  #idle: Channel[] = [];
  #openedCount = 0;
  #isRetired = false;
  /** Connections to the expected process. */
  readonly #proven = new WeakSet<Channel>();
  readonly #identity: ProcessIdentity;

  constructor(opts: ChannelPoolOptions) {
    this.#opts = opts;
    this.#identity = new ProcessIdentity({
      ...(opts.identity ?? NO_IDENTITY),
      timer: opts.timer,
    });
  }

  /** Number of connections opened since the start. */
  get openedCount(): number {
    return this.#openedCount;
  }

  /** Number of open connections. */
  get size(): number {
    return this.#channels.size;
  }

  /** Whether an idle connection can be reused. */
  get hasIdle(): boolean {
    const now = this.#opts.timer.monotonicNow();
    return this.#idle.some((it) => it.isUsable(now));
  }

  /**
   * Sends a request on an idle connection that has not rejected it, or on a new
   * one if there is none. With the demand `proven`, the request fails unless the
   * process at the other end is shown to be the expected one.
   */
  send(
    req: OutgoingRequest,
    handlers: ResponseHandlers,
    demand: ProcessDemand = "any",
  ): ExchangeControl {
    if (demand === "proven") return this.#sendProven(req, handlers);
    const channel = this.#take(req.id);
    channel.send(req, handlers);
    return {
      cancel: () => channel.cancel(req.id),
      pause: () => channel.pause(req.id),
      resume: () => channel.resume(req.id),
    };
  }

  #sendProven(
    req: OutgoingRequest,
    handlers: ResponseHandlers,
  ): ExchangeControl {
    return sendProven({
      req,
      handlers,
      identity: this.#identity,
      timer: this.#opts.timer,
      takeProven: () => this.#takeIdle(req.id, (it) => this.#proven.has(it)),
      take: () => this.#take(req.id),
      recordProven: (it) => this.#proven.add(it),
      maySend: () => this.#opts.maySend?.() ?? true,
      claim: (it) => this.#claim(it),
    });
  }

  /** Gives up connections that are not established yet. */
  closeUnconnected(): void {
    for (const channel of [...this.#channels]) channel.closeUnconnected();
  }

  /** Closes the connections without a request. */
  closeIdle(): void {
    for (const channel of [...this.#idle]) channel.close();
  }

  /**
   * Closes the connections without a request, and each other one after its
   * request. A retired pool gets no more requests.
   */
  retire(): void {
    this.#isRetired = true;
    this.closeIdle();
  }

  /** Closes all connections, which cancels the requests in flight. */
  close(): void {
    for (const channel of [...this.#channels]) channel.close();
  }

  /** Takes a connection out of the idle ones; false if it isn't there. */
  #claim(channel: Channel): boolean {
    const isIdle = this.#idle.includes(channel);
    this.#idle = this.#idle.filter((it) => it !== channel);
    return isIdle;
  }

  /** Takes an idle connection, or opens one. */
  #take(requestId: string): Channel {
    this.#identity.recordUse();
    return this.#takeIdle(requestId, () => true) ?? this.#open();
  }

  #takeIdle(
    requestId: string,
    mayTake: (channel: Channel) => boolean,
  ): Channel | undefined {
    const now = this.#opts.timer.monotonicNow();
    const expired = this.#idle.filter((it) => !it.isUsable(now));
    for (const channel of expired) channel.close();
    const index = this.#idle.findLastIndex((it) =>
      !it.hasRejected(requestId) && mayTake(it)
    );
    return index < 0 ? undefined : this.#idle.splice(index, 1)[0];
  }

  #open(): Channel {
    this.#openedCount += 1;
    const channel = new Channel({
      address: this.#opts.address,
      timer: this.#opts.timer,
      log: this.#opts.log,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      dial: this.#opts.dial ?? dialTcp,
      contact: this.#opts.contact ?? NO_LISTENER,
      maySend: this.#opts.maySend ?? (() => true),
      echoedRequestId: this.#opts.echoedRequestId,
      onIdle: (it) => this.#isRetired ? it.close() : this.#idle.push(it),
      onClosed: (it) => this.#remove(it),
    });
    this.#channels.add(channel);
    return channel;
  }

  #remove(channel: Channel): void {
    this.#channels.delete(channel);
    this.#idle = this.#idle.filter((it) => it !== channel);
    if (!channel.isBroken || this.#channels.size > 0) return;
    this.#identity.recordLoss();
  }
}
