import type { Metrics } from "@toucantrestle/metrics";
import type { Timer } from "@toucantrestle/timer";
import type { ContactListener } from "@toucantrestle/upstream_channel";

/** Tracks when this front last had contact with any upstream. */
export class UpstreamContact {
  readonly #timer: Timer;
  readonly #metrics: Metrics;
  /** Upstreams that were not connected since the last connection to any. */
  readonly #failedSinceConnect = new Set<string>();
  /** Listener of the connections to the newest process, by upstream. */
  readonly #listeners = new Map<string, ContactListener>();
  #receivedAt = 0;

  constructor(opts: { timer: Timer; metrics: Metrics }) {
    this.#timer = opts.timer;
    this.#metrics = opts.metrics;
  }

  /** Monotonic time at which bytes last arrived from an upstream, in ms. */
  get receivedAt(): number {
    return this.#receivedAt;
  }

  /** Upstreams that could not be connected since the last connection to any. */
  get failedCount(): number {
    return this.#failedSinceConnect.size;
  }

  /** Forgets failures to connect, after another proof that connections work. */
  clearFailures(): void {
    this.#failedSinceConnect.clear();
  }

  /** Forgets an upstream whose process has ended. */
  remove(id: string): void {
    this.#listeners.delete(id);
    this.#failedSinceConnect.delete(id);
  }

  /** Returns the listener for the connections to one process of an upstream. */
  listenerOf(id: string): ContactListener {
    const listener: ContactListener = {
      onConnected: () => {
        this.#failedSinceConnect.clear();
        this.#count("connected");
      },
      onConnectFailed: () => {
        const isCurrent = this.#listeners.get(id) === listener;
        if (isCurrent) this.#failedSinceConnect.add(id);
        this.#count("failed");
      },
      onReceived: () => {
        this.#receivedAt = this.#timer.monotonicNow();
      },
    };
    this.#listeners.set(id, listener);
    return listener;
  }

  #count(result: "connected" | "failed"): void {
    this.#metrics.count("upstream_connects", 1, { result });
  }
}
