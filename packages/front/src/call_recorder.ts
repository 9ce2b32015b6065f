import type { LogFields, Logger } from "@toucantrestle/log";
import type { Metrics } from "@toucantrestle/metrics";
import type { Route } from "@toucantrestle/routing";
import type { Timer } from "@toucantrestle/timer";
import type { Verdict } from "@toucantrestle/verdict";
import type { CallHead } from "./protocol.ts";
import type { ReceivedBody } from "./response_body.ts";

/** Decisions that a front makes on a call. */
export type CallEvent =
  | "routed"
  | "declined"
  | "unproven"
  | "attempt_failed"
  | "stopped"
  | "resumed"
  | "not_started"
  | "refused"
  | "answered"
  | "cut_off"
  | "not_kept";

/** Outcome of a call. */
export interface CallOutcome {
  /** HTTP status; 0 without a complete response. */
  status: number;
  verdict: Verdict;
  reason: string;
  /** Body that the upstream sent, if the response is an upstream's. */
  received?: ReceivedBody;
  /** Who has closed the connection, if it closed before the response ended. */
  closedBy?: "caller" | "front";
  /** Other calls in progress on the connection when it closed. */
  openOnConnection?: number;
  /** Whether this front was stopping when the connection closed. */
  isStopping?: boolean;
}

const WARN_EVENTS: ReadonlySet<CallEvent> = new Set([
  "attempt_failed",
  "stopped",
  "refused",
  "cut_off",
  "not_kept",
]);

/** Records the decisions on one call in the log and the metrics. */
export class CallRecorder {
  readonly #head: CallHead;
  readonly #route: Route;
  readonly #organisation: string | undefined;
  readonly #log: Logger;
  readonly #metrics: Metrics;
  readonly #timer: Timer;
  readonly #arrivedAt: number;
  #hasOutcome = false;

  constructor(
    opts: {
      head: CallHead;
      route: Route;
      /** Name of the organisation that sends the request, if it is known. */
      organisation?: string | undefined;
      log: Logger;
      metrics: Metrics;
      timer: Timer;
    },
  ) {
    this.#head = opts.head;
    this.#route = opts.route;
    this.#organisation = opts.organisation;
    this.#log = opts.log;
    this.#metrics = opts.metrics;
    this.#timer = opts.timer;
    this.#arrivedAt = opts.timer.monotonicNow();
  }

  /** Records a decision together with the values that led to it. */
  record(event: CallEvent, message: string, details: LogFields = {}): void {
    const fields = {
      event,
      req: this.#head.id,
      program: this.#head.program,
      route: this.#route.name,
      organisation: this.#organisation,
      ms: Math.round(this.#timer.monotonicNow() - this.#arrivedAt),
      ...details,
    };
    if (WARN_EVENTS.has(event)) this.#log.warn(message, fields);
    else this.#log.info(message, fields);
    this.#metrics.count("call_events", 1, { event, route: this.#route.name });
  }

  /** Counts the body that one attempt received, by how its end is marked. */
  countBody(received: ReceivedBody, result: "complete" | "failed"): void {
    this.#metrics.count("upstream_bodies", 1, {
      delimiter: received.delimiter,
      result,
    });
  }

  /** Records the outcome of the call; later outcomes are ignored. */
  recordOutcome(
    event: "answered" | "refused" | "cut_off",
    outcome: CallOutcome,
  ): void {
    if (this.#hasOutcome) return;
    this.#hasOutcome = true;
    const { received, ...fields } = outcome;
    const { reason, status } = outcome;
    this.record(event, `${reason}, status ${status}`, {
      ...fields,
      ...received,
    });
    const ms = this.#timer.monotonicNow() - this.#arrivedAt;
    this.#metrics.timing("call_ms", ms, { route: this.#route.name });
    this.#metrics.count("answers", 1, {
      route: this.#route.name,
      status: String(status),
      verdict: outcome.verdict,
    });
  }
}
