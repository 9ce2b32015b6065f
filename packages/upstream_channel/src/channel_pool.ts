import type { Logger } from "@toucantrestle/log";
import type { Timer } from "@toucantrestle/timer";
import { Channel } from "./channel.ts";
import type {
  AnswerHandlers,
  AnswerHead,
  OutgoingRequest,
} from "./exchange.ts";

/** Settings of the connections to one upstream. */
export interface ChannelPoolOptions {
  address: string;
  timer: Timer;
  log: Logger;
  /** Request id that an answer names; undefined when it names none. */
  answeredId: (head: AnswerHead) => string | undefined;
}

const CONNECT_TIMEOUT_MS = 700;

/** Connections to one upstream; the one used last is used next. */
export class ChannelPool {
  readonly #opts: ChannelPoolOptions;
  readonly #all = new Set<Channel>();
  #idle: Channel[] = [];
  #opened = 0;

  constructor(opts: ChannelPoolOptions) {
    this.#opts = opts;
  }

  /** Connections opened so far. */
  get opened(): number {
    return this.#opened;
  }

  get size(): number {
    return this.#all.size;
  }

  /** Whether a kept connection waits for a request. */
  get hasIdle(): boolean {
    const now = this.#opts.timer.steady();
    return this.#idle.some((it) => it.isUsable(now));
  }

  /** Sends a request on a kept connection, or on a new one. */
  send(req: OutgoingRequest, handlers: AnswerHandlers): { cancel(): void } {
    const channel = this.#takeIdle() ?? this.#open();
    channel.send(req, handlers);
    return { cancel: () => channel.cancel(req.id) };
  }

  /** Closes idle connections now and busy ones with their requests. */
  close(): void {
    for (const channel of [...this.#all]) channel.close();
  }

  #takeIdle(): Channel | undefined {
    const now = this.#opts.timer.steady();
    while (this.#idle.length > 0) {
      const channel = this.#idle.pop() as Channel;
      if (channel.isUsable(now)) return channel;
      channel.close();
    }
    return undefined;
  }

  #open(): Channel {
    this.#opened += 1;
    const channel = new Channel({
      address: this.#opts.address,
      timer: this.#opts.timer,
      log: this.#opts.log,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      answeredId: this.#opts.answeredId,
      onIdle: (it) => this.#idle.push(it),
      onClosed: (it) => this.#forget(it),
    });
    this.#all.add(channel);
    return channel;
  }

  #forget(channel: Channel): void {
    this.#all.delete(channel);
    this.#idle = this.#idle.filter((it) => it !== channel);
  }
}
