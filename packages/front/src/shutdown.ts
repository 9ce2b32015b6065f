/**
 * Planned end of a front: what it still takes, what it waits for, and what it
 * answers at the end.
 *
 * @module
 */
import type { Logger } from "@toucantrestle/log";
import { sleep, type Timer } from "@toucantrestle/timer";
import { neverAttempted } from "./attempt_ledger.ts";
import type { Call } from "./call.ts";
import { closeAfter, type OpenRequest } from "./caller_connection.ts";
import type { CallerConnections } from "./caller_connections.ts";
import { abortResponse, breakOff, refuse, refuseCall } from "./responses.ts";

/**
 * New connections are accepted for this long after the stop signal. Callers
 * cache a directory response for 2 s, and only a few cache it longer; a host
 * that restarts soon serves more calls than one that waits for those few.
 */
const ACCEPT_AFTER_STOP_MS = 2_600;
/** Requests may run until this long before the process is killed. */
const MAX_EXIT_MARGIN_MS = 800;
/** Share of a short grace period that is left for the last responses. */
const EXIT_MARGIN_SHARE = 1 / 7;
const DRAIN_POLL_INTERVAL_MS = 50;
const FLUSH_POLL_INTERVAL_MS = 10;
/** Siblings learn within this time that this front forwards nothing more. */
const FORWARDING_NOTICE_MS = 100;
/** Time between two log lines of a front that stops. */
const DRAIN_LOG_INTERVAL_MS = 1_000;
const DEREGISTRATION_TIMEOUT_MS = 100;

/** Something that a front finishes before its process ends. */
export interface Work {
  name: string;
  /** Returns how much is left. */
  count: () => number;
}

/** Options of `Shutdown`. */
export interface ShutdownOptions {
  /** Time until the process is killed, in ms. */
  graceMs: number;
  connections: CallerConnections;
  /** What the front waits for, besides the callers' connections. */
  work: Work[];
  /** Stops accepting connections of callers. */
  stopListening: () => void;
  /** Tells the siblings what this front still does. */
  announce: () => void;
  deregistration: Promise<unknown>;
  timer: Timer;
  log: Logger;
}

/**
 * Ends a front: connections are accepted for a short time, then what is in
 * progress is awaited until shortly before the end of the grace period, and what
 * is left is answered.
 */
export class Shutdown {
  readonly #opts: ShutdownOptions;
  readonly #startedAt: number;
  /** End of the time in which connections are accepted. */
  readonly #acceptUntil: number;
  /** End of the time in which requests may run. */
  readonly #runUntil: number;
  /** End of the time in which the last responses are sent. */
  readonly #sendUntil: number;
  #isForwarding = true;

  constructor(opts: ShutdownOptions) {
    const { graceMs, timer } = opts;
    const marginMs = Math.min(MAX_EXIT_MARGIN_MS, graceMs * EXIT_MARGIN_SHARE);
    this.#opts = opts;
    this.#startedAt = timer.monotonicNow();
    this.#acceptUntil = this.#startedAt +
      Math.min(ACCEPT_AFTER_STOP_MS, graceMs / 2);
    this.#runUntil = this.#startedAt + graceMs - marginMs;
    this.#sendUntil = this.#runUntil + marginMs / 2;
  }

  /** Whether a request with this deadline is refused. */
  refuses(deadlineAt: number): boolean {
    const now = this.#opts.timer.monotonicNow();
    return now > this.#acceptUntil && deadlineAt > this.#runUntil;
  }

  /** Whether the front takes requests of siblings that end in time. */
  get isForwarding(): boolean {
    return this.#isForwarding;
  }

  /** Time in which a sibling's request may run that is taken now, in ms. */
  get runLeftMs(): number {
    if (!this.#isForwarding) return -Infinity;
    return this.#runUntil - this.#opts.timer.monotonicNow();
  }

  /** Resolves when the process may exit; nothing is read after that. */
  async run(): Promise<void> {
    const { connections, timer, log } = this.#opts;
    log.info("stopping", { event: "stopping", ...this.#progress() });
    const progress = timer.every(
      DRAIN_LOG_INTERVAL_MS,
      () => log.info("stopping", { event: "stopping", ...this.#progress() }),
    );
    connections.startStopping();
    this.#opts.announce();
    await this.#sleepUntil(this.#acceptUntil);
    await readArrived();
    this.#opts.stopListening();
    await this.#awaitWork();
    for (const it of connections.openRequests) answerUnbegun(it);
    await Promise.all([
      this.#endForwarding(),
      this.#awaitDeregistration(),
      this.#awaitSending(),
    ]);
    // Requests may have arrived meanwhile.
    await readArrived();
    for (const it of connections.openRequests) answerUnbegun(it);
    await this.#awaitSending();
    progress.cancel();
    log.info("stopped", { event: "stop_finished", ...this.#progress() });
    for (const it of connections.openRequests) breakOffRequest(it);
  }

  /** Waits until nothing is left to do, or the requests' time is over. */
  async #awaitWork(): Promise<void> {
    const { connections, work, timer } = this.#opts;
    const isBusy = () =>
      connections.count > 0 || work.some((it) => it.count() > 0);
    while (isBusy() && timer.monotonicNow() < this.#runUntil) {
      await readArrived();
      connections.endIdle();
      await sleep(timer, DRAIN_POLL_INTERVAL_MS);
    }
  }

  /** Takes nothing more from siblings, and finishes what they have sent. */
  async #endForwarding(): Promise<void> {
    this.#isForwarding = false;
    this.#opts.announce();
    await sleep(this.#opts.timer, this.#boundedMs(FORWARDING_NOTICE_MS));
    await readArrived();
    await this.#awaitWork();
  }

  async #awaitDeregistration(): Promise<void> {
    const { deregistration, timer } = this.#opts;
    const timeoutMs = this.#boundedMs(DEREGISTRATION_TIMEOUT_MS);
    await Promise.race([deregistration, sleep(timer, timeoutMs)]);
  }

  /** Returns a time, or what is left to send the last responses if it is less. */
  #boundedMs(ms: number): number {
    const timeLeftMs = this.#sendUntil - this.#opts.timer.monotonicNow();
    return Math.max(0, Math.min(ms, timeLeftMs));
  }

  /** Waits until the last responses are sent that can be sent. */
  async #awaitSending(): Promise<void> {
    const { connections, timer } = this.#opts;
    const isSending = () =>
      connections.openRequests.some(({ res, connection }) =>
        res.writableEnded && connection.open[0]?.res.writableEnded
      );
    do {
      await sleep(timer, FLUSH_POLL_INTERVAL_MS);
    } while (isSending() && timer.monotonicNow() < this.#sendUntil);
  }

  async #sleepUntil(time: number): Promise<void> {
    const { timer } = this.#opts;
    await sleep(timer, Math.max(0, time - timer.monotonicNow()));
  }

  #progress(): Record<string, number> {
    const { connections, work, timer } = this.#opts;
    const open = connections.openRequests;
    const counts = work.map((it) => [it.name, it.count()]);
    return {
      stoppingMs: Math.round(timer.monotonicNow() - this.#startedAt),
      connections: connections.count,
      requests: open.length,
      begun: open.filter((it) => it.res.headersSent).length,
      ...Object.fromEntries(counts),
    };
  }
}

/**
 * Resolves once all that has arrived is accepted and read. A process that was
 * held up runs its timers before that.
 */
function readArrived(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Answers a request whose response has not begun: it cannot go on. */
function answerUnbegun({ res, call }: OpenRequest): void {
  if (res.headersSent) return;
  if (call) return abandon(call);
  closeAfter(res);
  refuse(res, "stopping", { proof: neverAttempted() });
}

function abandon(call: Call): void {
  refuseCall(call, "stopping");
  call.isAbandoned = true;
  call.onAbandon?.();
}

/** Breaks off a response: the end of the process would close its connection. */
function breakOffRequest({ res, call }: OpenRequest): void {
  if (!res.headersSent) return;
  if (call && !res.writableEnded) abortResponse(call, "front stopped");
  else if (!res.writableFinished) breakOff(res);
}
