import {
  canResumeStream,
  type ChooserInput,
  CHOOSERS,
  closestCandidates,
  decideFailureAction,
  isRetrySafe,
  type PromptPart,
  type TrackedUpstream,
  urgencyOf,
} from "@toucantrestle/routing";
import type { SpeedEstimate } from "@toucantrestle/policy";
import {
  type ChannelFailure,
  isListening,
} from "@toucantrestle/upstream_channel";
import { abortResponse, refuseCall, respond } from "./responses.ts";
import { type Attempt, type AttemptResult, startAttempt } from "./attempt.ts";
import type { Call } from "./call.ts";
import { EventTimes } from "./event_times.ts";
import { finishCall } from "./finish_call.ts";
import { LoadShare } from "./load_share.ts";
import type { ServeOptions } from "./serve_options.ts";
import type { TurnState } from "./turn_state.ts";

/** Expected output of a turn whose caller gives no estimate, in tokens. */
const DEFAULT_OUTPUT_TOKENS = 40;
/** Expected duration of a non-streaming call without a recorded mean, in ms. */
const DEFAULT_CALL_DURATION_MS = 100;
/** Upstreams whose load is queried before a choice. */
const MAX_QUERIED = 3;
/** Fill of the slots up to which an attempt measures an upstream's speed. */
const MAX_MEASURED_FILL = 0.5;
/** The deadline of an upstream precedes that of the caller by this margin. */
const DEADLINE_MARGIN_MS = 10;
/**
 * Maximum number of runs on crashed upstreams that do not count against the run
 * limit. A call during which more upstreams crash may itself be the cause.
 */
const MAX_DISCOUNTED_RUNS = 1;
/**
 * An attempt at an idempotent call counts as slow after this multiple of the
 * mean duration; the call is then retried on another upstream.
 */
const SLOW_FACTOR = 6;
const MIN_SLOW_ATTEMPT_MS = 300;

/** Runs one call: chooses upstreams, makes attempts and retries. */
export class CallRunner {
  readonly #call: Call;
  readonly #turn: TurnState | undefined;
  readonly #opts: ServeOptions;
  readonly #excluded = new Set<string>();
  #runs = 0;
  #declines = 0;
  /** Runs not counted in `#runs` because their upstream crashed. */
  #discountedRuns = 0;
  /** Id of the last event forwarded to the caller. */
  #lastEventId: string | undefined;

  constructor(call: Call, turn: TurnState | undefined, opts: ServeOptions) {
    this.#call = call;
    this.#turn = turn;
    this.#opts = opts;
  }

  /** Attempts the call on one upstream after another until it is finished. */
  async run(): Promise<void> {
    while (!this.#call.isAbandoned) {
      const upstream = await this.#chooseUpstream();
      if (this.#call.isAbandoned) return;
      if (!upstream) return this.#respondWithoutUpstream();
      const result = await this.#attempt(upstream);
      const isFinished = await this.#handleResult(upstream, result);
      if (isFinished) return;
    }
  }

  /** Chooses an upstream, with a fresh view of the load of the likely ones. */
  async #chooseUpstream(): Promise<TrackedUpstream | undefined> {
    const { chooser, queryLoads } = this.#opts;
    const likely = closestCandidates(this.#chooserInput(), MAX_QUERIED);
    if (likely.length > 0) await queryLoads(likely);
    if (this.#call.isAbandoned) return undefined;
    const input = this.#chooserInput();
    return input.candidates.length > 0 ? CHOOSERS[chooser](input) : undefined;
  }

  #chooserInput(): ChooserInput {
    const { upstreamRegistry, prefixIndex, timer, dataCentre, pools } =
      this.#opts;
    const now = timer.monotonicNow();
    return {
      candidates: upstreamRegistry.candidates(this.#call.service, now)
        .filter((it) => !this.#excluded.has(it.entry.id)),
      upstreamRegistry,
      prefixIndex,
      parts: this.#promptParts,
      promptTokens: this.#promptTokens,
      outputTokens: this.#outputTokens,
      speed: this.#speed,
      workMs: upstreamRegistry.meanMs(this.#call.route.name) ??
        DEFAULT_CALL_DURATION_MS,
      lastUpstream: this.#turn?.hints.at(-1)?.upstream,
      dataCentre,
      hasIdleConnection: (id) => pools.hasIdle(id),
      now,
      draw: Math.random(),
    };
  }

  get #promptTokens(): number {
    return this.#turn ? this.#call.head.promptTokens ?? 1 : 0;
  }

  get #outputTokens(): number {
    return this.#call.head.expectedOutputTokens ?? DEFAULT_OUTPUT_TOKENS;
  }

  get #speed(): SpeedEstimate {
    return this.#opts.speedOf(this.#call.service);
  }

  get #promptParts(): PromptPart[] {
    return this.#call.head.promptParts;
  }

  async #attempt(upstream: TrackedUpstream): Promise<AttemptResult> {
    const { timer, prefixIndex, pools, protocol } = this.#opts;
    const call = this.#call;
    const { id } = upstream.entry;
    const startedAt = timer.monotonicNow();
    const timeLeftMs = call.deadlineAt - startedAt;
    const cachedTokens = prefixIndex.cachedTokens(id, this.#promptParts);
    const uncachedTokens = Math.max(0, this.#promptTokens - cachedTokens);
    this.#recordRouted(upstream, { uncachedTokens, timeLeftMs });
    const isLightlyLoaded = this.#isLightlyLoaded(upstream, startedAt);
    const load = this.#addLoad(upstream, uncachedTokens);
    if (this.#turn) prefixIndex.recordPrefill(id, this.#promptParts);
    const eventTimes = new EventTimes(startedAt);
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
        eventTimes.record(timer.monotonicNow());
        this.#lastEventId = event.id;
        this.#turn?.recordEvent(event);
      },
      onFirstByte: () => load.endPrefill(),
    });
    const result = await this.#awaitResult(attempt, timeLeftMs);
    load.end();
    if (result.kind === "complete") {
      this.#recordDuration(upstream, startedAt, uncachedTokens);
      if (isLightlyLoaded) {
        this.#turn?.updateSpeed(this.#speed, { uncachedTokens, eventTimes });
      }
    }
    return result;
  }

  /** Whether an attempt that starts now measures the speed of the upstream. */
  #isLightlyLoaded(upstream: TrackedUpstream, now: number): boolean {
    const { running } = this.#opts.upstreamRegistry.loadOf(upstream, now);
    return running <= MAX_MEASURED_FILL * upstream.entry.slots;
  }

  #addLoad(upstream: TrackedUpstream, uncachedTokens: number): LoadShare {
    const { id } = upstream.entry;
    return new LoadShare(upstream.localLoad, {
      uncachedTokens,
      onLoadChange: () => this.#opts.onLoadChange(id),
    });
  }

  #urgency(now: number): number {
    return urgencyOf({
      rank: this.#call.route.rank,
      programLeftMs: this.#programLeftMs(now),
      minDurationMs: this.#outputTokens * this.#speed.idleDecodeMsPerToken,
    });
  }

  /** Time left until the target finish time of the program, in ms. */
  #programLeftMs(now: number): number | undefined {
    const { head, arrivedAt } = this.#call;
    if (head.programTimeLeftMs === undefined) return undefined;
    return Math.round(head.programTimeLeftMs - (now - arrivedAt));
  }

  /**
   * Waits for the result of an attempt. Stops the attempt when the caller
   * disconnects, the deadline passes or the attempt is slow.
   */
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

  /**
   * Time after which an attempt counts as slow, in ms; infinite if the call
   * must not be retried on another upstream.
   */
  #slowAttemptMs(): number {
    const { route } = this.#call;
    const mayTryAnother = route.kind === "idempotent" &&
      this.#runs + 1 < route.maxRuns;
    if (!mayTryAnother) return Infinity;
    const mean = this.#opts.upstreamRegistry.meanMs(route.name) ??
      DEFAULT_CALL_DURATION_MS;
    return Math.max(MIN_SLOW_ATTEMPT_MS, SLOW_FACTOR * mean);
  }

  /** Handles the result of an attempt; returns true if the call is finished. */
  async #handleResult(
    upstream: TrackedUpstream,
    result: AttemptResult,
  ): Promise<boolean> {
    const { id } = upstream.entry;
    switch (result.kind) {
      case "complete":
        this.#opts.upstreamRegistry.recordSuccess(id);
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
        // An upstream that declined the initial stream may accept the rest.
        if (result.failure.hasDeliveredHead) this.#excluded.clear();
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
      `attempt on ${id} stopped: ${result.reason}`,
      {
        upstream: id,
        why: result.reason,
        verdict: "may_have_run",
      },
    );
    if (result.hasDeliveredHead || result.reason === "abandoned") {
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
    this.#call.recorder.record(
      "declined",
      `upstream ${id} declined the call with status ${status}`,
      {
        upstream: id,
        status,
        verdict: "not_run",
      },
    );
    const isMisrouted = status === 421;
    if (isMisrouted) {
      this.#opts.upstreamRegistry.recordFailure(
        id,
        this.#opts.timer.monotonicNow(),
      );
    }
  }

  #recordFailure(id: string, failure: ChannelFailure): void {
    const { upstreamRegistry, timer, crashTracker } = this.#opts;
    const now = timer.monotonicNow();
    this.#excluded.add(id);
    if (failure.verdict === "not_run") this.#declines += 1;
    else this.#runs += 1;
    this.#call.recorder.record(
      "attempt_failed",
      `attempt on ${id} failed: ${failure.reason}`,
      {
        upstream: id,
        reason: failure.reason,
        verdict: failure.verdict,
        events: this.#turn?.events,
      },
    );
    const isUnreachable = failure.reason === "connect_refused" ||
      failure.reason === "connect_timeout";
    if (isUnreachable) upstreamRegistry.recordFailure(id, now);
    if (mayHaveCrashed(failure)) {
      crashTracker.recordCrash(this.#call.fingerprint, id, now);
    }
  }

  /**
   * Does not count a run against the limit if its upstream no longer listens,
   * that is, has crashed.
   */
  async #discountCrashedRun(
    upstream: TrackedUpstream,
    failure: ChannelFailure,
  ): Promise<void> {
    const { route } = this.#call;
    if (!mayHaveCrashed(failure) || !isRetrySafe(route)) return;
    if (this.#runs < route.maxRuns) return;
    if (this.#discountedRuns >= MAX_DISCOUNTED_RUNS) return;
    const hasCrashed = !await isListening(upstream.entry.address);
    if (!hasCrashed) return;
    this.#discountedRuns += 1;
    this.#runs -= 1;
  }

  /**
   * Prepares the resumption of an interrupted stream, or aborts the response if
   * the stream cannot be resumed. Returns true when the call is finished.
   */
  #resumeOrAbort(): boolean {
    const call = this.#call;
    const canResume = this.#lastEventId !== undefined && canResumeStream({
      route: call.route,
      runs: this.#runs,
      declines: this.#declines,
      timeLeftMs: call.deadlineAt - this.#opts.timer.monotonicNow(),
    });
    if (!canResume) {
      abortResponse(call, "upstream failed, stream cannot be resumed");
      return true;
    }
    call.recorder.record(
      "resumed",
      `stream resumed after event ${this.#lastEventId}`,
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
    const next = decideFailureAction({
      route: call.route,
      verdict,
      runs: this.#runs,
      declines: this.#declines,
      timeLeftMs: call.deadlineAt - this.#opts.timer.monotonicNow(),
    });
    if (next === "retry") return false;
    if (next === "refuse") refuseCall(call, "upstreams_full");
    else if (next === "time_out") this.#respondDeadlineExceeded();
    else this.#respondFailed("upstream failed, call may have run");
    return true;
  }

  #respondWithoutUpstream(): void {
    if (this.#call.res.headersSent) {
      abortResponse(this.#call, "no upstream left to resume the stream");
    } else if (this.#runs > 0) {
      this.#respondFailed("no upstream left to retry the call");
    } else if (this.#declines > 0) refuseCall(this.#call, "upstreams_full");
    else refuseCall(this.#call, "no_upstream");
  }

  #respondFailed(reason: string): void {
    respond(this.#call, { status: 502, verdict: "may_have_run", reason });
  }

  #respondDeadlineExceeded(): void {
    respond(this.#call, {
      status: 504,
      verdict: "may_have_run",
      reason: "deadline exceeded",
    });
  }

  #recordRouted(
    upstream: TrackedUpstream,
    opts: { uncachedTokens: number; timeLeftMs: number },
  ): void {
    const { upstreamRegistry, timer, upstreamsAgeMs } = this.#opts;
    const load = upstreamRegistry.loadOf(upstream, timer.monotonicNow());
    const { id } = upstream.entry;
    this.#call.recorder.record("routed", `call sent to ${id}`, {
      upstream: id,
      service: this.#call.service,
      configVersion: this.#call.config.version,
      upstreamsAgeMs: Math.round(upstreamsAgeMs()),
      running: load.running,
      prefillTokens: load.prefillTokens,
      decodeMsPerToken: round3(this.#speed.idleDecodeMsPerToken),
      prefillMsPerToken: round3(this.#speed.prefillMsPerToken),
      unreadTokens: this.#turn ? opts.uncachedTokens : undefined,
      timeLeftMs: Math.round(opts.timeLeftMs),
      programLeftMs: this.#programLeftMs(timer.monotonicNow()),
      tries: this.#runs + this.#declines,
    });
  }

  /**
   * Records the duration of a complete call. The duration of a turn is divided
   * by that on an idle engine, so that turns of different sizes compare.
   */
  #recordDuration(
    upstream: TrackedUpstream,
    startedAt: number,
    uncachedTokens: number,
  ) {
    const { upstreamRegistry, timer } = this.#opts;
    const now = timer.monotonicNow();
    const ms = now - startedAt;
    const { id, service } = upstream.entry;
    if (this.#turn) {
      const { idleDecodeMsPerToken, prefillMsPerToken } = this.#speed;
      const idleMs = this.#turn.outputTokens * idleDecodeMsPerToken +
        uncachedTokens * prefillMsPerToken;
      upstreamRegistry.recordDuration(id, service, ms / (idleMs + 1), now);
    } else upstreamRegistry.recordDuration(id, this.#call.route.name, ms, now);
  }
}

/** Whether the upstream may have crashed while it ran the request. */
function mayHaveCrashed(failure: ChannelFailure): boolean {
  return failure.reason === "connection_lost" &&
    failure.verdict === "may_have_run";
}

function round3(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
