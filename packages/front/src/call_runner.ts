import {
  isRetrySafe,
  type TrackedUpstream,
  type UpstreamEntry,
} from "@toucantrestle/routing";
import { sleep } from "@toucantrestle/timer";
import { isListening } from "@toucantrestle/upstream_channel";
import {
  abortResponse,
  refuseCall,
  respondDeadlineExceeded,
  respondFailed,
} from "./responses.ts";
import {
  type Attempt,
  type AttemptResult,
  startAttempt,
  verdictOf,
} from "./attempt.ts";
import type { Call } from "./call.ts";
import type { CallQuota } from "./call_quota.ts";
import { EventTimes } from "./event_times.ts";
import { finishCall } from "./finish_call.ts";
import {
  isConnectFailure,
  isOwnPathFailure,
  isUnproven,
  mayHaveCrashed,
  type PathFailure,
} from "./path_failure.ts";
import { recordRouted } from "./record_routed.ts";
import { RunCount } from "./run_count.ts";
import type { ServeOptions } from "./serve_options.ts";
import { stopWhenSlow } from "./slow_attempt.ts";
import { streamBoundOf, StreamBudget } from "./stream_budget.ts";
import type { PathKind, UpstreamPath } from "./upstream_paths.ts";
import type { TurnState } from "./turn_state.ts";
import {
  type AttemptStart,
  DEFAULT_CALL_DURATION_MS,
  type UpstreamChoice,
} from "./upstream_choice.ts";

/** The deadline of an upstream precedes that of the caller by this margin. */
const DEADLINE_MARGIN_MS = 10;
/**
 * An attempt at an idempotent call counts as slow after this multiple of the
 * mean duration; the call is then retried on another upstream.
 */
const SLOW_FACTOR = 6;
const MIN_SLOW_ATTEMPT_MS = 300;
/** A call that has begun waits so long for an upstream in its stead. */
const MAX_UPSTREAM_WAIT_MS = 2_000;
const UPSTREAM_POLL_INTERVAL_MS = 50;

/** Runs one call: chooses upstreams, makes attempts and retries. */
export class CallRunner {
  readonly #call: Call;
  readonly #turn: TurnState | undefined;
  readonly #opts: ServeOptions;
  readonly #choice: UpstreamChoice;
  readonly #quota: CallQuota | undefined;
  readonly #count: RunCount;
  readonly #budget: StreamBudget;
  /** Id of the last event forwarded to the caller. */
  #lastEventId: string | undefined;
  /** Until when the call waits for an upstream, once none was left. */
  #waitUntil: number | undefined;

  constructor(
    call: Call,
    { turn, choice, quota, opts }: {
      turn: TurnState | undefined;
      choice: UpstreamChoice;
      /** Undefined if the requests of the caller are not limited. */
      quota: CallQuota | undefined;
      opts: ServeOptions;
    },
  ) {
    this.#call = call;
    this.#turn = turn;
    this.#opts = opts;
    this.#choice = choice;
    this.#quota = quota;
    this.#count = new RunCount(call, opts);
    this.#budget = new StreamBudget(streamBoundOf(call));
  }

  /** Attempts the call on one upstream after another until it is finished. */
  async run(): Promise<void> {
    let hasToken = this.#quota === undefined;
    while (!this.#call.isAbandoned) {
      const upstream = await this.#choice.choose();
      const choice = upstream ?? await this.#chooseOutOfReach();
      if (this.#call.isAbandoned) return;
      if (!choice) {
        if (this.#choice.acceptUnproven()) continue;
        if (await this.#awaitUpstream()) continue;
        return this.#respondWithoutUpstream();
      }
      const { entry } = choice;
      if (!await this.#recordOrigin(entry)) return;
      if (!this.#opts.upstreamRegistry.mayReceive(entry)) continue;
      const avoidsDirect = upstream === undefined;
      const path = this.#opts.paths.pathTo(choice, {
        avoidsDirect,
        timeLeftMs: this.#timeLeftMs,
      });
      if (!path) {
        if (await this.#awaitUpstream()) continue;
        return this.#respondWithoutUpstream();
      }
      hasToken ||= await this.#quota?.useToken() === true;
      if (!hasToken) return;
      // The chosen one may have left meanwhile, or another have replaced it.
      if (!this.#opts.upstreamRegistry.mayReceive(entry)) continue;
      hasToken = this.#quota === undefined;
      const result = await this.#attempt(choice, path);
      const isFinished = await this.#handleResult(entry, {
        result,
        path: path.kind,
      });
      if (isFinished) return;
    }
  }

  /**
   * Records which software begins the stream, before it can write an event.
   * Returns false if the call is finished.
   */
  async #recordOrigin(entry: UpstreamEntry): Promise<boolean> {
    if (this.#choice.hasEvents || !this.#turn) return true;
    const isProven = this.#choice.demand === "proven";
    if (await this.#turn.recordOrigin(entry, { isProven })) {
      return !this.#call.isAbandoned;
    }
    if (this.#count.runs > 0) {
      respondFailed(this.#call, "origin cannot be recorded");
    } else refuseCall(this.#call, "turns_unknown");
    return false;
  }

  get #timeLeftMs(): number {
    return this.#call.deadlineAt - this.#opts.timer.monotonicNow();
  }

  /**
   * Waits a moment if the call has begun and an upstream may soon be reached
   * again. Returns false if there is no time left to wait.
   */
  async #awaitUpstream(): Promise<boolean> {
    const { timer } = this.#opts;
    const hasBegun = this.#call.res.headersSent || this.#count.runs > 0;
    if (!hasBegun || !isRetrySafe(this.#call.route)) return false;
    const now = timer.monotonicNow();
    this.#waitUntil ??= now + MAX_UPSTREAM_WAIT_MS;
    const endsAt = Math.min(this.#waitUntil, this.#call.deadlineAt);
    if (now + UPSTREAM_POLL_INTERVAL_MS >= endsAt) return false;
    this.#choice.excluded.clear();
    await sleep(timer, UPSTREAM_POLL_INTERVAL_MS);
    return true;
  }

  /** Chooses an upstream that only a sibling may be able to connect to. */
  async #chooseOutOfReach(): Promise<TrackedUpstream | undefined> {
    if (!this.#opts.paths.hasRelay) return undefined;
    return await this.#choice.chooseOutOfReach();
  }

  async #attempt(
    upstream: TrackedUpstream,
    path: UpstreamPath,
  ): Promise<AttemptResult> {
    const { timer, prefixIndex, protocol, holders } = this.#opts;
    const call = this.#call;
    const { id } = upstream.entry;
    const start = this.#startMeasurement(upstream, path.kind);
    const timeLeftMs = call.deadlineAt - start.startedAt;
    if (this.#turn) prefixIndex.recordPrefill(id, call.head.promptParts);
    const endAttempt = call.attempts.begin();
    const attempt = startAttempt({
      call,
      upstream,
      path,
      protocol,
      holders,
      budget: this.#budget,
      keptOutputBytes: () => this.#turn?.keptOutputBytes ?? 0,
      body: this.#turn?.prompt ?? call.body,
      demand: this.#choice.demand,
      urgency: this.#choice.urgency(start.startedAt),
      resumeAfter: call.res.headersSent ? this.#lastEventId : undefined,
      timeLeftMs: Math.max(1, Math.floor(timeLeftMs - DEADLINE_MARGIN_MS)),
      onEvent: (event) => {
        start.eventTimes.record(timer.monotonicNow());
        this.#lastEventId = event.id;
        this.#choice.hasEvents = true;
        this.#turn?.recordEvent(event);
      },
      onHead: (head) => {
        start.load.endPrefill();
        this.#opts.noticeReader.read(start.entry, head);
      },
    });
    const stopWatching = this.#watchPath(attempt, path.kind);
    const result = await this.#awaitResult(attempt, {
      timeLeftMs,
      hasOtherWay: () => this.#hasOtherWay(id, path.kind),
    });
    this.#waitUntil = undefined;
    endAttempt(verdictOf(result));
    stopWatching();
    start.load.end();
    if ("received" in result && result.received) {
      call.recorder.countBody(result.received, result.kind);
    }
    if (result.kind === "complete") {
      this.#choice.recordComplete(start);
    }
    return result;
  }

  /** Records the choice and adds the attempt to the load of the upstream. */
  #startMeasurement(
    upstream: TrackedUpstream,
    path: PathKind,
  ): AttemptStart {
    const startedAt = this.#opts.timer.monotonicNow();
    const uncachedTokens = this.#choice.uncachedTokens(upstream.entry.id);
    const call = this.#call;
    recordRouted(call, {
      upstream,
      path,
      isTurn: this.#turn !== undefined,
      uncachedTokens,
      timeLeftMs: call.deadlineAt - startedAt,
      programLeftMs: this.#choice.programLeftMs(startedAt),
      tries: this.#count.runs + this.#count.declines,
    }, this.#opts);
    return {
      entry: upstream.entry,
      startedAt,
      uncachedTokens,
      isLightlyLoaded: this.#choice.isLightlyLoaded(upstream, startedAt),
      load: this.#choice.addLoad(upstream, uncachedTokens),
      eventTimes: new EventTimes(startedAt),
    };
  }

  /**
   * Interrupts a direct attempt that may run again when only a sibling reaches
   * the upstreams. Returns a function that ends this.
   */
  #watchPath(attempt: Attempt, path: PathKind): () => void {
    const mayRunAgain = isRetrySafe(this.#call.route);
    if (path !== "direct" || !mayRunAgain) return () => {};
    return this.#opts.detour.onFound(() => attempt.interrupt());
  }

  /** Whether another upstream than that of an attempt can take the call now. */
  async #hasOtherWay(id: string, path: PathKind): Promise<boolean> {
    const { directPath, detour, pools, dial } = this.#opts;
    const others = this.#choice.alternativesTo(id);
    const [first] = others;
    if (!first) return false;
    if (path === "sibling") return await detour.isOpen();
    // A sibling that reaches upstreams is found by the detour.
    if (directPath.isCut) return false;
    if (others.some((it) => pools.hasIdle(it.entry.id))) return true;
    return await isListening(first.entry.address, dial);
  }

  /**
   * Waits for the result of an attempt. Stops the attempt when the caller
   * disconnects, the deadline passes, or it is slow and there is another way.
   */
  async #awaitResult(
    attempt: Attempt,
    { timeLeftMs, hasOtherWay }: {
      timeLeftMs: number;
      hasOtherWay: () => Promise<boolean>;
    },
  ): Promise<AttemptResult> {
    const { timer } = this.#opts;
    const call = this.#call;
    const deadline = timer.after(
      Math.max(0, timeLeftMs),
      () => attempt.stop("deadline"),
    );
    const endSlowCheck = stopWhenSlow(attempt, {
      slowMs: this.#slowAttemptMs(),
      hasOtherWay,
      timer,
      log: this.#opts.log,
    });
    call.onAbandon = () => attempt.stop("abandoned");
    const result = await attempt.result;
    call.onAbandon = undefined;
    deadline.cancel();
    endSlowCheck();
    return result;
  }

  /**
   * Time after which an attempt counts as slow, in ms; infinite if the call
   * must not be retried on another upstream.
   */
  #slowAttemptMs(): number {
    const { route } = this.#call;
    const mayTryAnother = !this.#opts.disabled.has("slow_attempts") &&
      route.kind === "idempotent" &&
      this.#count.mayRunAgain;
    if (!mayTryAnother) return Infinity;
    const mean = this.#opts.upstreamRegistry.meanMs(route.name) ??
      DEFAULT_CALL_DURATION_MS;
    return Math.max(MIN_SLOW_ATTEMPT_MS, SLOW_FACTOR * mean);
  }

  /** Handles the result of an attempt; returns true if the call is finished. */
  async #handleResult(
    entry: UpstreamEntry,
    { result, path }: { result: AttemptResult; path: PathKind },
  ): Promise<boolean> {
    const { id } = entry;
    switch (result.kind) {
      case "complete":
        this.#opts.upstreamRegistry.recordSuccess(entry);
        this.#opts.crashSuspicions.recordSuccess(this.#call);
        this.#turn?.recordPrefill(entry);
        await finishCall({
          call: this.#call,
          turn: this.#turn,
          turnStore: this.#opts.turnStore,
          upstream: id,
          result,
        });
        return true;
      case "declined":
        this.#recordDeclined(entry, result.status);
        return this.#retryOrRespond("not_run");
      case "failed":
        if (isUnproven(result.failure)) {
          this.#recordUnproven(entry, result.failure);
          return false;
        }
        // An upstream that declined the initial stream may accept the rest.
        if (result.failure.hasDeliveredHead) this.#choice.excluded.clear();
        this.#recordFailure(entry, { ...result, path });
        await this.#count.discountLostRun(entry, result.failure);
        return this.#retryOrRespond(result.failure.verdict);
      case "stopped":
        return this.#handleStopped(id, result);
    }
  }

  #handleStopped(
    id: string,
    result: Extract<AttemptResult, { kind: "stopped" }>,
  ): boolean {
    this.#count.count("may_have_run");
    this.#choice.excluded.add(id);
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
    respondDeadlineExceeded(this.#call);
    return true;
  }

  /** Chooses anew after a request that was not sent to an unproven process. */
  #recordUnproven(entry: UpstreamEntry, { reason }: PathFailure): void {
    const { id } = entry;
    // The process that answered may have replaced the one of the entry.
    const isKnownAnew = !this.#opts.upstreamRegistry.isCurrent(entry);
    if (!isKnownAnew) this.#choice.excludeUnproven(id);
    this.#call.recorder.record(
      "unproven",
      `call not sent to ${id}: its process is not that of its entry (${reason})`,
      { upstream: id, reason, verdict: "not_run" },
    );
  }

  #recordDeclined(entry: UpstreamEntry, status: number): void {
    const { id } = entry;
    this.#choice.excluded.add(id);
    this.#count.count("not_run");
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
        entry,
        this.#opts.timer.monotonicNow(),
      );
    }
  }

  #recordFailure(
    entry: UpstreamEntry,
    { failure, received, path }:
      & Extract<AttemptResult, { kind: "failed" }>
      & { path: PathKind },
  ): void {
    const { upstreamRegistry, timer, crashSuspicions } = this.#opts;
    const { id } = entry;
    const now = timer.monotonicNow();
    const isUnreachable = isConnectFailure(failure);
    const mayReachOtherwise = isOwnPathFailure(failure) ||
      (isUnreachable && path === "direct");
    if (!mayReachOtherwise) this.#choice.excluded.add(id);
    this.#count.count(failure.verdict);
    this.#call.recorder.record(
      "attempt_failed",
      `attempt on ${id} failed: ${failure.reason}`,
      {
        upstream: id,
        reason: failure.reason,
        verdict: failure.verdict,
        ...received,
      },
    );
    if (isUnreachable) upstreamRegistry.recordFailure(entry, now);
    if (mayHaveCrashed(failure)) {
      crashSuspicions.suspect(this.#call.fingerprint, entry);
    }
  }

  /**
   * Prepares the resumption of an interrupted stream, or aborts the response if
   * the stream cannot be resumed. Returns true when the call is finished.
   */
  #resumeOrAbort(): boolean {
    const call = this.#call;
    const canResume = this.#lastEventId !== undefined &&
      !this.#budget.isSpent && this.#count.canResume();
    if (!canResume) {
      abortResponse(call, "upstream failed, stream cannot be resumed");
      return true;
    }
    call.recorder.record(
      "resumed",
      `stream resumed after event ${this.#lastEventId}`,
      {
        lastEventId: this.#lastEventId,
        runs: this.#count.runs,
      },
    );
    return false;
  }

  #retryOrRespond(verdict: PathFailure["verdict"]): boolean {
    const call = this.#call;
    if (call.res.headersSent) return this.#resumeOrAbort();
    const next = this.#count.nextAction(verdict);
    if (next === "retry") return false;
    if (next === "refuse") refuseCall(call, "upstreams_full");
    else if (next === "time_out") respondDeadlineExceeded(this.#call);
    else respondFailed(this.#call, "upstream failed, call may have run");
    return true;
  }

  #respondWithoutUpstream(): void {
    if (this.#call.res.headersSent) {
      abortResponse(this.#call, "no upstream left to resume the stream");
    } else if (this.#count.runs > 0) {
      respondFailed(this.#call, "no upstream left to retry the call");
    } else if (this.#count.declines > 0) {
      refuseCall(this.#call, "upstreams_full");
    } else if (this.#choice.permitWaitMs > 0) {
      refuseCall(this.#call, "upstreams_limited", this.#choice.permitWaitMs);
    } else refuseCall(this.#call, "no_upstream");
  }
}
