import type { Metrics } from "@toucantrestle/metrics";
import type { Timer } from "@toucantrestle/timer";
import type { ContactListener } from "@toucantrestle/upstream_channel";

/** Contact with one process of an upstream. */
interface Contact {
  /** Monotonic time of the last sign that it runs, in ms. */
  aliveAt: number;
}

/** Tracks when this front last had contact with its upstreams. */
export class UpstreamContact {
  readonly #timer: Timer;
  readonly #metrics: Metrics;
  /** Upstreams that were not connected since the last connection to any. */
  readonly #failedSinceConnect = new Set<string>();
  /** Contact with the newest process, by upstream. */
  readonly #contacts = new Map<string, Contact>();
  #receivedAt = 0;
  #connectedAt = -Infinity;

  constructor(opts: { timer: Timer; metrics: Metrics }) {
    this.#timer = opts.timer;
    this.#metrics = opts.metrics;
  }

  /** Monotonic time at which bytes last arrived from an upstream, in ms. */
  get receivedAt(): number {
    return this.#receivedAt;
  }

  /** Monotonic time of the last connection to an upstream, in ms. */
  get connectedAt(): number {
    return this.#connectedAt;
  }

  /** Upstreams that could not be connected since the last connection to any. */
  get failedCount(): number {
    return this.#failedSinceConnect.size;
  }

  /**
   * Monotonic time of the last sign that an upstream runs, in ms: a connection,
   * or bytes; 0 if there was none.
   */
  aliveAt(id: string): number {
    return this.#contacts.get(id)?.aliveAt ?? 0;
  }

  /** Whether an upstream was not connected since the last connection to any. */
  hasFailed(id: string): boolean {
    return this.#failedSinceConnect.has(id);
  }

  /** Records that an upstream accepts connections, so that the way works. */
  recordConnected(id: string): void {
    const contact = this.#contacts.get(id) ?? { aliveAt: 0 };
    this.#contacts.set(id, contact);
    this.#noteConnected(contact);
  }

  /** Records that an upstream could not be connected. */
  recordFailed(id: string): void {
    this.#failedSinceConnect.add(id);
  }

  /** Forgets an upstream whose process has ended. */
  remove(id: string): void {
    this.#contacts.delete(id);
    this.#failedSinceConnect.delete(id);
  }

  /** Returns the listener for the connections to one process of an upstream. */
  listenerOf(id: string): ContactListener {
    const contact: Contact = { aliveAt: 0 };
    this.#contacts.set(id, contact);
    return {
      onConnected: () => {
        this.#noteConnected(contact);
        this.#count("connected");
      },
      onConnectFailed: () => {
        const isCurrent = this.#contacts.get(id) === contact;
        if (isCurrent) this.recordFailed(id);
        this.#count("failed");
      },
      onReceived: () => {
        this.#receivedAt = this.#timer.monotonicNow();
        contact.aliveAt = this.#receivedAt;
      },
    };
  }

  #noteConnected(contact: Contact): void {
    this.#connectedAt = this.#timer.monotonicNow();
    contact.aliveAt = this.#connectedAt;
    this.#failedSinceConnect.clear();
  }

  #count(result: "connected" | "failed"): void {
    this.#metrics.count("upstream_connects", 1, { result });
  }
}
