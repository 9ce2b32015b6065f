import type { StreamReceiver } from "@toucantrestle/link";
import type { Subscription, Timer } from "@toucantrestle/timer";
import type { ExchangeControl } from "@toucantrestle/upstream_channel";

/** A response waits while more than this is buffered for a slow sibling. */
const MAX_BUFFERED_BYTES = 1_000_000;
/** Time between two looks at the buffer of a waiting response. */
const BUFFER_CHECK_INTERVAL_MS = 20;

/**
 * Pauses the response of a forwarded exchange while the sibling asks for it or
 * reads slowly.
 */
export class RelayFlow {
  readonly #exchange: Pick<ExchangeControl, "pause" | "resume">;
  readonly #receiver: Pick<StreamReceiver<never>, "bufferedBytes">;
  readonly #timer: Timer;
  #isPausedBySibling = false;
  /** Looks at the buffer while it is full. */
  #check: Subscription | undefined;

  constructor(opts: {
    exchange: Pick<ExchangeControl, "pause" | "resume">;
    receiver: Pick<StreamReceiver<never>, "bufferedBytes">;
    timer: Timer;
  }) {
    this.#exchange = opts.exchange;
    this.#receiver = opts.receiver;
    this.#timer = opts.timer;
  }

  /** Called after a part of the response was sent to the sibling. */
  onSent(): void {
    if (this.#check || !this.#isFull) return;
    this.#exchange.pause();
    this.#check = this.#timer.every(
      BUFFER_CHECK_INTERVAL_MS,
      () => this.#onCheck(),
    );
  }

  pause(): void {
    this.#isPausedBySibling = true;
    this.#exchange.pause();
  }

  resume(): void {
    this.#isPausedBySibling = false;
    if (!this.#check) this.#exchange.resume();
  }

  /** Called once, at the end of the response. */
  end(): void {
    this.#check?.cancel();
    this.#check = undefined;
  }

  get #isFull(): boolean {
    return this.#receiver.bufferedBytes > MAX_BUFFERED_BYTES;
  }

  #onCheck(): void {
    if (this.#isFull) return;
    this.end();
    if (!this.#isPausedBySibling) this.#exchange.resume();
  }
}
