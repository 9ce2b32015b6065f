import type { Metrics } from "@toucantrestle/metrics";
import {
  type Decision,
  Dispatcher,
  type DispatchLimits,
  type PolicyName,
  type UpstreamInfo,
  type WorkItem,
  type WorkResult,
} from "@toucantrestle/policy";
import type { Timer } from "@toucantrestle/timer";
import { OverloadedError } from "@toucantrestle/verdict";

/** Assignment of a call to an upstream. */
export interface Placement {
  id: string;
  upstream: string;
}

interface PendingCall {
  resolve: (placement: Placement) => void;
  reject: (err: Error) => void;
}

const POLL_INTERVAL_MS = 50;

/** Runs the dispatcher and settles queued calls according to its decisions. */
export class PlacementQueue {
  readonly dispatcher: Dispatcher;
  readonly #timer: Timer;
  readonly #metrics: Metrics;
  readonly #pendingCalls = new Map<string, PendingCall>();
  #isPollScheduled = false;

  constructor(
    opts: {
      policy: PolicyName;
      queueLimit: () => number;
      limits: DispatchLimits;
      timer: Timer;
      metrics: Metrics;
    },
  ) {
    this.dispatcher = new Dispatcher(opts);
    this.#timer = opts.timer;
    this.#metrics = opts.metrics;
    this.#timer.every(POLL_INTERVAL_MS, () => {
      if (this.dispatcher.waiting > 0) this.#poll();
    });
  }

  /** Replaces the set of upstreams. */
  setUpstreams(infos: UpstreamInfo[]): void {
    this.dispatcher.setUpstreams(infos);
    this.schedulePoll();
  }

  /**
   * Queues a call and waits for its placement on an upstream.
   *
   * @throws {OverloadedError} with verdict `not_run` and a retry delay
   */
  waitForPlacement(work: WorkItem): Promise<Placement> {
    return new Promise((resolve, reject) => {
      const refusal = this.dispatcher.submit(work);
      this.#pendingCalls.set(work.id, { resolve, reject });
      if (refusal) this.#settle(refusal);
      else this.schedulePoll();
    });
  }

  /** Records that a placed call has finished. */
  recordFinished(id: string, result: WorkResult): void {
    this.dispatcher.recordFinished(id, result);
    this.schedulePoll();
  }

  /**
   * Schedules a poll of the dispatcher. All requests in the same turn of the event
   * loop share one poll.
   */
  schedulePoll(): void {
    if (this.#isPollScheduled) return;
    this.#isPollScheduled = true;
    queueMicrotask(() => {
      this.#isPollScheduled = false;
      this.#poll();
    });
  }

  #poll(): void {
    for (const decision of this.dispatcher.poll(this.#timer.now())) {
      this.#settle(decision);
    }
  }

  #settle(decision: Decision): void {
    const { work } = decision;
    const pending = this.#pendingCalls.get(work.id);
    this.#pendingCalls.delete(work.id);
    if (decision.kind === "start") {
      const waitedMs = this.#timer.now() - work.enqueuedAt;
      this.#metrics.timing("dispatch.wait", waitedMs);
      pending?.resolve({ id: work.id, upstream: decision.upstream });
      return;
    }
    this.#metrics.count("dispatch.refused");
    pending?.reject(
      new OverloadedError(
        `no upstream capacity for a call to ${work.target}, retry after ${decision.retryAfterMs} ms`,
        { props: { retryAfterMs: decision.retryAfterMs } },
      ),
    );
  }
}
