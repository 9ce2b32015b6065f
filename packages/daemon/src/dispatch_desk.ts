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

/** Where a call was placed. */
export interface Placement {
  id: string;
  upstream: string;
}

interface Waiter {
  resolve: (placement: Placement) => void;
  reject: (err: Error) => void;
}

const POLL_MS = 50;

/** Runs the dispatcher and tells waiting calls what it decided. */
export class DispatchDesk {
  readonly dispatcher: Dispatcher;
  readonly #timer: Timer;
  readonly #metrics: Metrics;
  readonly #waiters = new Map<string, Waiter>();
  #scheduled = false;

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
    this.#timer.every(POLL_MS, () => {
      if (this.dispatcher.waiting > 0) this.#poll();
    });
  }

  setUpstreams(infos: UpstreamInfo[]): void {
    this.dispatcher.setUpstreams(infos);
    this.wake();
  }

  /**
   * Waits until the call may be sent.
   *
   * @throws {OverloadedError} with verdict `not_run` and a time to come back
   */
  place(work: WorkItem): Promise<Placement> {
    return new Promise((resolve, reject) => {
      const refusal = this.dispatcher.submit(work);
      this.#waiters.set(work.id, { resolve, reject });
      if (refusal) this.#settle(refusal);
      else this.wake();
    });
  }

  /** Notes that a placed call has ended. */
  finished(id: string, result: WorkResult): void {
    this.dispatcher.recordFinished(id, result);
    this.wake();
  }

  /** Looks for work to start, once in this turn. */
  wake(): void {
    if (this.#scheduled) return;
    this.#scheduled = true;
    queueMicrotask(() => {
      this.#scheduled = false;
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
    const waiter = this.#waiters.get(work.id);
    this.#waiters.delete(work.id);
    if (decision.kind === "start") {
      const waitedMs = this.#timer.now() - work.enqueuedAt;
      this.#metrics.timing("dispatch.wait", waitedMs);
      waiter?.resolve({ id: work.id, upstream: decision.upstream });
      return;
    }
    this.#metrics.count("dispatch.refused");
    waiter?.reject(
      new OverloadedError(
        `no upstream for ${work.target} can take the call in time`,
        { props: { retryAfterMs: decision.retryAfterMs } },
      ),
    );
  }
}
