import type { LogFields, Logger } from "@toucantrestle/log";
import type { Metrics } from "@toucantrestle/metrics";
import type { Route } from "@toucantrestle/routing";
import type { Timer } from "@toucantrestle/timer";
import type { Verdict } from "@toucantrestle/verdict";
import type { CallHead } from "./protocol.ts";

/** What a front has decided on a request. */
export type CallEvent =
  | "routed"
  | "declined"
  | "attempt_failed"
  | "stopped"
  | "resumed"
  | "not_started"
  | "refused"
  | "answered"
  | "cut_off"
  | "not_kept";

const FAILURES: ReadonlySet<CallEvent> = new Set([
  "attempt_failed",
  "stopped",
  "refused",
  "cut_off",
  "not_kept",
]);

/** Writes the decisions on one request to the log and the counters. */
export class CallTrail {
  readonly #head: CallHead;
  readonly #route: Route;
  readonly #log: Logger;
  readonly #metrics: Metrics;
  readonly #timer: Timer;
  readonly #arrivedAt: number;
  #isClosed = false;

  constructor(
    opts: {
      head: CallHead;
      route: Route;
      log: Logger;
      metrics: Metrics;
      timer: Timer;
    },
  ) {
    this.#head = opts.head;
    this.#route = opts.route;
    this.#log = opts.log;
    this.#metrics = opts.metrics;
    this.#timer = opts.timer;
    this.#arrivedAt = opts.timer.steady();
  }

  /** Notes a decision with the inputs that decided it. */
  note(event: CallEvent, message: string, inputs: LogFields = {}): void {
    const fields = {
      event,
      req: this.#head.id,
      program: this.#head.program,
      route: this.#route.name,
      ms: Math.round(this.#timer.steady() - this.#arrivedAt),
      ...inputs,
    };
    if (FAILURES.has(event)) this.#log.warn(message, fields);
    else this.#log.info(message, fields);
    this.#metrics.count("call_events", 1, { event, route: this.#route.name });
  }

  /** Notes the answer that the caller gets; only the first one counts. */
  end(
    event: "answered" | "refused" | "cut_off",
    opts: { status: number; verdict: Verdict; reason: string },
  ): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.note(event, `${opts.reason}, status ${opts.status}`, opts);
    const ms = this.#timer.steady() - this.#arrivedAt;
    this.#metrics.timing("call_ms", ms, { route: this.#route.name });
    this.#metrics.count("answers", 1, {
      route: this.#route.name,
      status: String(opts.status),
      verdict: opts.verdict,
    });
  }
}
