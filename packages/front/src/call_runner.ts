import {
  afterFailure,
  CHOOSERS,
  idleOutputMs,
  type KnownUpstream,
  mayRepeat,
  mayResume,
  type PromptPart,
  urgencyOf,
} from "@toucantrestle/routing";
import {
  type ChannelFailure,
  isListening,
} from "@toucantrestle/upstream_channel";
import { abortResponse, refuseCall, respond } from "./responses.ts";
import { type Attempt, type AttemptResult, startAttempt } from "./attempt.ts";
import type { Call } from "./call.ts";
import { finishCall } from "./finish_call.ts";
import type { ServeOptions } from "./serve_options.ts";
import type { TurnState } from "./turn_state.ts";

/** Output that is expected of a turn whose caller gives no estimate, tokens. */
const DEFAULT_OUTPUT_TOKENS = 40;
/** Prompt tokens that are read in the time of one event. */
const PREFILL_TOKENS_PER_EVENT = 800;
/** Expected duration of a call of a plain service, in ms. */
const DEFAULT_CALL_DURATION_MS = 100;
/** The time given to an upstream ends this much before the caller's. */
const DEADLINE_MARGIN_MS = 10;
/** A call on which more upstreams ended may be what ends them. */
const MAX_DISCOUNTED_RUNS = 1;
/** An idempotent call goes elsewhere after this many usual durations. */
const SLOW_FACTOR = 6;
const MIN_SLOW_ATTEMPT_MS = 300;

/** The attempts of one call. */
export class CallRunner {
  readonly #call: Call;
  readonly #turn: TurnState | undefined;
  readonly #opts: ServeOptions;
  readonly #excluded = new Set<string>();
  #runs = 0;
  #declines = 0;
  /** Runs at upstreams that have ended since, which do not count. */
  #discountedRuns = 0;
  /** Id of the last event that was passed on. */
  #lastEventId: string | undefined;

  constructor(call: Call, turn: TurnState | undefined, opts: ServeOptions) {
    this.#call = call;
    this.#turn = turn;
    this.#opts = opts;
  }

  /** Tries upstreams until the call has its answer. */
  async run(): Promise<void> {
    while (!this.#call.isAbandoned) {
      const upstream = this.#chooseUpstream();
      if (!upstream) return this.#respondWithoutUpstream();
      const result = await this.#attempt(upstream);
      const isFinished = await this.#handleResult(upstream, result);
      if (isFinished) return;
    }
  }

  #chooseUpstream(): KnownUpstream | undefined {
    const { book, caches, timer, dataCentre, chooser, pools } = this.#opts;
    const now = timer.steady();
    const candidates = book.candidates(this.#call.service, now)
      .filter((it) => !this.#excluded.has(it.entry.id));
    if (candidates.length === 0) return undefined;
    return CHOOSERS[chooser]({
      candidates,
      book,
      caches,
      parts: this.#promptParts,
      promptTokens: this.#promptTokens,
      outputTokens: this.#outputTokens,
      workMs: book.meanMs(this.#call.route.name) ?? DEFAULT_CALL_DURATION_MS,
      lastUpstream: this.#turn?.hints.at(-1)?.upstream,
      dataCentre,
      hasChannel: (id) => pools.hasIdle(id),
      now,
      draw: Math.random(),
    });
  }

  get #promptTokens(): number {
    return this.#turn ? this.#call.head.promptTokens ?? 1 : 0;
  }

  get #outputTokens(): number {
    return this.#call.head.expectedOutputTokens ?? DEFAULT_OUTPUT_TOKENS;
  }

  get #promptParts(): PromptPart[] {
    return this.#call.head.promptParts;
  }

  async #attempt(upstream: KnownUpstream): Promise<AttemptResult> {
    const { timer, caches, pools, protocol } = this.#opts;
    const call = this.#call;
    const { id } = upstream.entry;
    const startedAt = timer.steady();
    const timeLeftMs = call.deadlineAt - startedAt;
    const cachedTokens = caches.cachedTokens(id, this.#promptParts);
    const uncachedTokens = Math.max(0, this.#promptTokens - cachedTokens);
    this.#recordRouted(upstream, { uncachedTokens, timeLeftMs });
    const endPrefill = addLoad(upstream, uncachedTokens);
    if (this.#turn) caches.note(id, this.#promptParts);
    const attempt = startAttempt({
      call,
      upstream,
      pool: pools.poolOf(upstream),
      protocol,
      body: this.#turn?.prompt ?? call.body,
      urgency: this.#turn ? this.#urgency(startedAt) : undefined,
      resumeAfter: call.res.headersSent ? this.#lastEventId : undefined,
      timeLeftMs: Math.max(1, Math.floor(timeLeftMs - DEADLINE_MARGIN_MS)),
      onEvent: (event) => {
        this.#lastEventId = event.id;
        this.#turn?.recordEvent(event);
      },
      onFirstByte: endPrefill,
    });
    const result = await this.#awaitResult(attempt, timeLeftMs);
    endPrefill();
    upstream.own.running -= 1;
    if (result.kind === "complete") {
      this.#recordDuration(upstream, startedAt, uncachedTokens);
    }
    return result;
  }

  #urgency(now: number): number {
    return urgencyOf({
      rank: this.#call.route.rank,
      programLeftMs: this.#programLeftMs(now),
      leastMs: idleOutputMs(this.#outputTokens),
    });
  }

  /** Time until the program should have finished, in ms. */
  #programLeftMs(now: number): number | undefined {
    const { head, arrivedAt } = this.#call;
    if (head.finishMs === undefined) return undefined;
    return Math.round(head.finishMs - (now - arrivedAt));
  }

  /** Stops the attempt when the caller leaves or the time is over. */
  async #awaitResult(
    attempt: Attempt,
    timeLeftMs: number,
  ): Promise<AttemptResult> {
    const { timer } = this.#opts;
    const call = this.#call;
    const timers = [
      timer.after(Math.max(0, timeLeftMs), () => attempt.stop("deadline")),
    ];
    const slowMs = this.#slowAttemptMs();
    if (slowMs < timeLeftMs) {
      timers.push(timer.after(slowMs, () => attempt.stop("slow")));
    }
    call.onAbandon = () => attempt.stop("abandoned");
    const result = await attempt.result;
    call.onAbandon = undefined;
    for (const it of timers) it.cancel();
    return result;
  }

  /** Time after which an idempotent call is worth another upstream, in ms. */
  #slowAttemptMs(): number {
    const { route } = this.#call;
    const mayTryAnother = route.kind === "idempotent" &&
      this.#runs + 1 < route.maxRuns;
    if (!mayTryAnother) return Infinity;
    const mean = this.#opts.book.meanMs(route.name) ?? DEFAULT_CALL_DURATION_MS;
    return Math.max(MIN_SLOW_ATTEMPT_MS, SLOW_FACTOR * mean);
  }

  /** Acts on an attempt's end; true when the call is over. */
  async #handleResult(
    upstream: KnownUpstream,
    result: AttemptResult,
  ): Promise<boolean> {
    const { id } = upstream.entry;
    switch (result.kind) {
      case "complete":
        this.#opts.book.noteSuccess(id);
        this.#turn?.recordPrefill(id);
        await finishCall({
          call: this.#call,
          turn: this.#turn,
          turnStore: this.#opts.turnStore,
          upstream: id,
          result,
        });
        return true;
      case "declined":
        this.#recordDeclined(id, result.status);
        return this.#retryOrRespond("not_run");
      case "failed":
        // Whoever declined the beginning of a stream may take the rest.
        if (result.failure.hadHead) this.#excluded.clear();
        this.#recordFailure(id, result.failure);
        await this.#discountCrashedRun(upstream, result.failure);
        return this.#retryOrRespond(result.failure.verdict);
      case "stopped":
        return this.#handleStopped(id, result);
    }
  }

  #handleStopped(
    id: string,
    result: Extract<AttemptResult, { kind: "stopped" }>,
  ): boolean {
    this.#runs += 1;
    this.#excluded.add(id);
    this.#call.recorder.record(
      "stopped",
      `stopped at ${id}: ${result.reason}`,
      {
        upstream: id,
        why: result.reason,
        verdict: "may_have_run",
      },
    );
    if (result.hadHead || result.reason === "abandoned") {
      abortResponse(this.#call, result.reason);
      return true;
    }
    if (result.reason === "slow") return this.#retryOrRespond("may_have_run");
    this.#respondDeadlineExceeded();
    return true;
  }

  #recordDeclined(id: string, status: number): void {
    this.#excluded.add(id);
    this.#declines += 1;
    this.#call.recorder.record("declined", `${id} did not run it`, {
      upstream: id,
      status,
      verdict: "not_run",
    });
    const isWrongUpstream = status === 421;
    if (isWrongUpstream) {
      this.#opts.book.noteFailure(id, this.#opts.timer.steady());
    }
  }

  #recordFailure(id: string, failure: ChannelFailure): void {
    const { book, timer, crashes } = this.#opts;
    const now = timer.steady();
    this.#excluded.add(id);
    if (failure.verdict === "not_run") this.#declines += 1;
    else this.#runs += 1;
    this.#call.recorder.record("attempt_failed", `${id}: ${failure.reason}`, {
      upstream: id,
      reason: failure.reason,
      verdict: failure.verdict,
      events: this.#turn?.events,
    });
    const isUnreachable = failure.reason === "connect_refused" ||
      failure.reason === "connect_timeout";
    if (isUnreachable) book.noteFailure(id, now);
    if (mayHaveCrashed(failure)) crashes.note(this.#call.fingerprint, id, now);
  }

  /** A run at an upstream that has ended does not count among the runs. */
  async #discountCrashedRun(
    upstream: KnownUpstream,
    failure: ChannelFailure,
  ): Promise<void> {
    const { route } = this.#call;
    if (!mayHaveCrashed(failure) || !mayRepeat(route)) return;
    if (this.#runs < route.maxRuns) return;
    if (this.#discountedRuns >= MAX_DISCOUNTED_RUNS) return;
    const hasCrashed = !await isListening(upstream.entry.address);
    if (!hasCrashed) return;
    this.#discountedRuns += 1;
    this.#runs -= 1;
  }

  /** Lets a stream that broke off go on; true when the call is over. */
  #resumeOrAbort(): boolean {
    const call = this.#call;
    const canResume = this.#lastEventId !== undefined && mayResume({
      route: call.route,
      runs: this.#runs,
      declines: this.#declines,
      timeLeftMs: call.deadlineAt - this.#opts.timer.steady(),
    });
    if (!canResume) {
      abortResponse(call, "the upstream broke off");
      return true;
    }
    call.recorder.record(
      "resumed",
      `goes on after event ${this.#lastEventId}`,
      {
        lastEventId: this.#lastEventId,
        runs: this.#runs,
      },
    );
    return false;
  }

  #retryOrRespond(verdict: ChannelFailure["verdict"]): boolean {
    const call = this.#call;
    if (call.res.headersSent) return this.#resumeOrAbort();
    const next = afterFailure({
      route: call.route,
      verdict,
      runs: this.#runs,
      declines: this.#declines,
      timeLeftMs: call.deadlineAt - this.#opts.timer.steady(),
    });
    if (next === "retry") return false;
    if (next === "refuse") refuseCall(call, "upstreams_full");
    else if (next === "time_out") this.#respondDeadlineExceeded();
    else this.#respondFailed("the upstream broke off");
    return true;
  }

  #respondWithoutUpstream(): void {
    if (this.#call.res.headersSent) {
      abortResponse(this.#call, "no upstream is left to go on");
    } else if (this.#runs > 0) this.#respondFailed("no other upstream is left");
    else if (this.#declines > 0) refuseCall(this.#call, "upstreams_full");
    else refuseCall(this.#call, "no_upstream");
  }

  #respondFailed(reason: string): void {
    respond(this.#call, { status: 502, verdict: "may_have_run", reason });
  }

  #respondDeadlineExceeded(): void {
    respond(this.#call, {
      status: 504,
      verdict: "may_have_run",
      reason: "the time is over",
    });
  }

  #recordRouted(
    upstream: KnownUpstream,
    opts: { uncachedTokens: number; timeLeftMs: number },
  ): void {
    const { book, timer, upstreamsAgeMs } = this.#opts;
    const load = book.loadOf(upstream, timer.steady());
    const { id } = upstream.entry;
    this.#call.recorder.record("routed", `sent to ${id}`, {
      upstream: id,
      service: this.#call.service,
      configVersion: this.#call.config.version,
      upstreamsAgeMs: Math.round(upstreamsAgeMs()),
      running: load.running,
      unreadTokens: this.#turn ? opts.uncachedTokens : undefined,
      timeLeftMs: Math.round(opts.timeLeftMs),
      programLeftMs: this.#programLeftMs(timer.steady()),
      tries: this.#runs + this.#declines,
    });
  }

  /** Learns how fast an upstream is; a turn counts by its size. */
  #recordDuration(
    upstream: KnownUpstream,
    startedAt: number,
    uncachedTokens: number,
  ) {
    const { book, timer } = this.#opts;
    const now = timer.steady();
    const ms = now - startedAt;
    const { id, service } = upstream.entry;
    if (this.#turn) {
      const sizeInEvents = this.#turn.events +
        uncachedTokens / PREFILL_TOKENS_PER_EVENT + 1;
      book.noteDuration(id, service, ms / sizeInEvents, now);
    } else book.noteDuration(id, this.#call.route.name, ms, now);
  }
}

/** Whether an upstream may have ended on the request that it ran. */
function mayHaveCrashed(failure: ChannelFailure): boolean {
  return failure.reason === "connection_lost" &&
    failure.verdict === "may_have_run";
}

/** Counts a request at an upstream; the result ends the reading of its prompt. */
function addLoad(upstream: KnownUpstream, uncachedTokens: number): () => void {
  upstream.own.running += 1;
  upstream.own.prefillTokens += uncachedTokens;
  let isPrefilling = true;
  return () => {
    if (!isPrefilling) return;
    isPrefilling = false;
    upstream.own.prefillTokens -= uncachedTokens;
  };
}
