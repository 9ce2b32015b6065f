import type { SpeedEstimate, WorkKind } from "@toucantrestle/policy";
import {
  type ChooserInput,
  CHOOSERS,
  closestCandidates,
  type TrackedUpstream,
  type UpstreamEntry,
  urgencyOf,
} from "@toucantrestle/routing";
import type { ProcessDemand } from "@toucantrestle/upstream_channel";
import type { Call } from "./call.ts";
import type { EventTimes } from "./event_times.ts";
import { LoadShare } from "./load_share.ts";
import type { ServeOptions } from "./serve_options.ts";
import {
  completeOrigin,
  demandOf,
  isResumption,
  runsSameSoftware,
} from "./stream_origin.ts";
import type { TurnState } from "./turn_state.ts";

/** Expected output of a turn whose caller gives no estimate, in tokens. */
const DEFAULT_OUTPUT_TOKENS = 40;
/** Expected duration of a non-streaming call without a recorded mean, in ms. */
export const DEFAULT_CALL_DURATION_MS = 100;
/** Upstreams whose load is queried before a choice. */
const MAX_QUERIED = 3;
/** Unproven upstreams after which a new stream begins at any. */
const MAX_UNPROVEN = 2;
/** Fill of the slots up to which an attempt measures an upstream's speed. */
const MAX_MEASURED_FILL = 0.5;

/** Start of an attempt, for measuring the speed of its upstream. */
export interface AttemptStart {
  /** Entry of the process to which the attempt is sent. */
  entry: UpstreamEntry;
  startedAt: number;
  uncachedTokens: number;
  /** Whether few other requests ran when the attempt started. */
  isLightlyLoaded: boolean;
  load: LoadShare;
  eventTimes: EventTimes;
}

/** Chooses upstreams for one call and learns from its attempts. */
export class UpstreamChoice {
  readonly #call: Call;
  readonly #turn: TurnState | undefined;
  readonly #opts: ServeOptions;
  /** Upstreams that declined or failed the call. */
  readonly excluded = new Set<string>();
  /** Whether the caller has received events, so that the software is fixed. */
  hasEvents = false;
  /** Excluded upstreams whose process could not be proven. */
  readonly #unproven = new Set<string>();
  #acceptsUnproven = false;
  #hasReadmitted = false;

  constructor(call: Call, turn: TurnState | undefined, opts: ServeOptions) {
    this.#call = call;
    this.#turn = turn;
    this.#opts = opts;
  }

  /** Which process of an upstream may get the call. */
  get demand(): ProcessDemand {
    const acceptsAny = this.#acceptsUnproven && !this.isBegun;
    return acceptsAny ? "any" : demandOf(this.#call);
  }

  /**
   * Excludes an upstream whose process is not proven to be that of its entry. A
   * new stream does not wait for many of them.
   */
  excludeUnproven(id: string): void {
    this.excluded.add(id);
    this.#unproven.add(id);
    this.#acceptsUnproven ||= this.#unproven.size >= MAX_UNPROVEN;
  }

  /**
   * Lets a new stream begin at a process that is not proven, for want of another.
   * Returns whether that adds an upstream to the choice.
   */
  acceptUnproven(): boolean {
    const hasAny = this.#unproven.size > 0 && !this.#hasReadmitted;
    if (this.isBegun || !hasAny) return false;
    for (const id of this.#unproven) this.excluded.delete(id);
    this.#hasReadmitted = true;
    this.#acceptsUnproven = true;
    return true;
  }

  /** Speed of the engines of the call's service. */
  get speed(): SpeedEstimate {
    return this.#opts.speedOf(this.#call.service);
  }

  /**
   * Chooses an upstream, with a fresh view of the load of the likely ones.
   * Returns undefined if none is left or the caller has disconnected.
   */
  async choose(): Promise<TrackedUpstream | undefined> {
    const { queryLoads, permitWeights } = this.#opts;
    if (this.#kind === "engine") {
      permitWeights.observe(this.#call.service, this.#workMs);
      const input = this.#createInput(this.#candidates());
      const likely = closestCandidates(input, MAX_QUERIED);
      if (likely.length > 0) await queryLoads(likely);
      if (this.#call.isAbandoned) return undefined;
    }
    return await this.#choosePermitted(() => this.#candidates());
  }

  /**
   * Chooses among the upstreams that could not be connected lately, and those
   * whose backoff has ended since the choice before.
   */
  async chooseOutOfReach(): Promise<TrackedUpstream | undefined> {
    return await this.#choosePermitted(() =>
      this.#opts.upstreamRegistry.acceptingOf(this.#call.service)
        .filter((it) => this.#mayServe(it))
    );
  }

  /** Time until an upstream that is limited may take the call, in ms. */
  get permitWaitMs(): number {
    const candidates = this.#candidates();
    const weight = this.#permitWeight(candidates);
    const waits = candidates
      .map((it) => this.#opts.permits.waitMs(it.entry, weight))
      .filter((ms) => ms > 0);
    return waits.length > 0 ? Math.min(...waits) : 0;
  }

  /** Chooses among upstreams until one is not limited or grants a permit. */
  async #choosePermitted(
    list: () => TrackedUpstream[],
  ): Promise<TrackedUpstream | undefined> {
    const { chooser, permits } = this.#opts;
    const kind = this.isBegun ? "continued" : "new";
    const denied = new Set<string>();
    while (!this.#call.isAbandoned) {
      const all = list().filter((it) => !denied.has(it.entry.id));
      const weight = this.#permitWeight(all);
      const candidates = all.filter((it) => this.#mayBePermitted(it, weight));
      if (candidates.length === 0) return undefined;
      const upstream = CHOOSERS[chooser](this.#createInput(candidates));
      if (!upstream) return undefined;
      const { entry } = upstream;
      const isGranted = await permits.ask(entry, { kind, weight });
      // The chosen one may have left meanwhile, or another have replaced it.
      if (!this.#opts.upstreamRegistry.mayReceive(entry)) continue;
      if (isGranted) return upstream;
      denied.add(entry.id);
    }
    return undefined;
  }

  /** Returns the other upstreams that may take the call, apart from limits. */
  alternativesTo(id: string): TrackedUpstream[] {
    return this.#candidates().filter((it) => it.entry.id !== id);
  }

  /** Returns the upstream that would be chosen on what is known locally. */
  likely(): UpstreamEntry | undefined {
    const all = this.#candidates();
    const weight = this.#permitWeight(all);
    const candidates = all.filter((it) => this.#mayBePermitted(it, weight));
    if (candidates.length === 0) return undefined;
    return CHOOSERS[this.#opts.chooser](this.#createInput(candidates))?.entry;
  }

  /** Returns the prompt tokens that an upstream has probably not cached. */
  uncachedTokens(id: string): number {
    const { promptParts } = this.#call.head;
    const cached = this.#opts.prefixIndex.cachedTokens(id, promptParts);
    return Math.max(0, this.#promptTokens - cached);
  }

  /** Adds an attempt to the load of an upstream; it ends with the attempt. */
  addLoad(upstream: TrackedUpstream, uncachedTokens: number): LoadShare {
    const { id } = upstream.entry;
    return new LoadShare(upstream.localLoad, {
      uncachedTokens,
      onLoadChange: () => this.#opts.onLoadChange(id, this.#kind),
    });
  }

  /** Whether an attempt that starts now measures the speed of the upstream. */
  isLightlyLoaded(upstream: TrackedUpstream, now: number): boolean {
    const { running } = this.#opts.upstreamRegistry.loadOf(upstream, now);
    return running <= MAX_MEASURED_FILL * upstream.entry.slots;
  }

  /** Returns the urgency of the turn at an engine, if it has one. */
  urgency(now: number): number | undefined {
    if (!this.#turn || this.#opts.disabled.has("urgency")) return undefined;
    const { organisation, route } = this.#call;
    return urgencyOf({
      rank: organisation?.rank ?? route.rank,
      programLeftMs: this.programLeftMs(now),
      minDurationMs: this.#outputTokens * this.speed.idleDecodeMsPerToken,
    });
  }

  /** Time left until the target finish time of the program, in ms. */
  programLeftMs(now: number): number | undefined {
    const { head, arrivedAt } = this.#call;
    if (head.programTimeLeftMs === undefined) return undefined;
    return Math.round(head.programTimeLeftMs - (now - arrivedAt));
  }

  /** Learns from an attempt that completed the call. */
  recordComplete(start: AttemptStart): void {
    this.#recordDuration(start);
    const mayLearn = start.isLightlyLoaded &&
      !this.#opts.disabled.has("learned_speeds");
    if (mayLearn) this.#turn?.updateSpeed(this.speed, start);
  }

  /**
   * Records the duration of a complete call. The duration of a turn is divided
   * by that on an idle engine, so that turns of different sizes compare.
   */
  #recordDuration(start: AttemptStart): void {
    const { upstreamRegistry, timer } = this.#opts;
    const now = timer.monotonicNow();
    const ms = now - start.startedAt;
    const { entry } = start;
    if (!this.#turn) {
      upstreamRegistry.recordDuration(entry, this.#call.route.name, ms, now);
      return;
    }
    const { idleDecodeMsPerToken, prefillMsPerToken } = this.speed;
    const idleMs = this.#turn.outputTokens * idleDecodeMsPerToken +
      start.uncachedTokens * prefillMsPerToken;
    const { service } = entry;
    upstreamRegistry.recordDuration(entry, service, ms / (idleMs + 1), now);
  }

  /**
   * Upstreams that may take the call, apart from limits. A call that has met a
   * failed upstream is not spent on others that failed before, while there are
   * any that did not.
   */
  #candidates(): TrackedUpstream[] {
    const { upstreamRegistry, timer } = this.#opts;
    const candidates = upstreamRegistry
      .candidates(this.#call.service, timer.monotonicNow())
      .filter((it) => this.#mayServe(it));
    return this.#hasMetFailure ? preferUnfailed(candidates) : candidates;
  }

  get #hasMetFailure(): boolean {
    const { upstreamRegistry } = this.#opts;
    for (const id of this.excluded) {
      const failures = upstreamRegistry.get(id)?.consecutiveFailures ?? 0;
      if (failures > 0) return true;
    }
    return false;
  }

  #mayServe({ entry }: TrackedUpstream): boolean {
    return !this.excluded.has(entry.id) && this.#mayWrite(entry);
  }

  /** Whether a permit for an upstream may be available now. */
  #mayBePermitted({ entry }: TrackedUpstream, weight: number): boolean {
    return this.isBegun || this.#opts.permits.waitMs(entry, weight) === 0;
  }

  /**
   * Weight of the call for permits. Without an upstream that has no limit all
   * calls count the same, so that small ones are served too.
   */
  #permitWeight(candidates: TrackedUpstream[]): number {
    const { permitWeights, upstreamRegistry } = this.#opts;
    const hasUnlimited = candidates.some(({ entry }) =>
      upstreamRegistry.notices.maxRequestsPerS(entry) === undefined
    );
    if (!hasUnlimited || this.isBegun) return 1;
    return permitWeights.weightOf(this.#call.service, this.#workMs);
  }

  /** Work of the call for an engine with a cached prompt, in ms. */
  get #workMs(): number {
    return this.#outputTokens * this.speed.idleDecodeMsPerToken;
  }

  #createInput(candidates: TrackedUpstream[]): ChooserInput {
    const { upstreamRegistry, prefixIndex, timer, dataCentre, pools } =
      this.#opts;
    const now = timer.monotonicNow();
    return {
      candidates,
      upstreamRegistry,
      prefixIndex,
      parts: this.#call.head.promptParts,
      promptTokens: this.#promptTokens,
      outputTokens: this.#outputTokens,
      speed: this.speed,
      workMs: upstreamRegistry.meanMs(this.#call.route.name) ??
        DEFAULT_CALL_DURATION_MS,
      lastUpstream: this.#turn?.hints.at(-1)?.upstream,
      dataCentre,
      hasIdleConnection: (id) => pools.hasIdle(id),
      now,
      disabled: this.#opts.disabled,
      draw: Math.random(),
    };
  }

  /** Whether the caller has a part of the stream. */
  get isBegun(): boolean {
    return this.hasEvents || isResumption(this.#call);
  }

  /** Whether an upstream may write the next events of the call's stream. */
  #mayWrite(entry: UpstreamEntry): boolean {
    const origin = this.#turn?.origin;
    if (!this.isBegun || origin === undefined) return true;
    const known = this.#opts.upstreamRegistry.get(origin.upstream);
    return runsSameSoftware(entry, completeOrigin(origin, known?.entry));
  }

  get #kind(): WorkKind {
    return this.#turn ? "engine" : "service";
  }

  get #promptTokens(): number {
    return this.#turn ? this.#call.head.promptTokens ?? 1 : 0;
  }

  get #outputTokens(): number {
    return this.#call.head.expectedOutputTokens ?? DEFAULT_OUTPUT_TOKENS;
  }
}

/** Returns the upstreams that have not failed; all if each has. */
function preferUnfailed(upstreams: TrackedUpstream[]): TrackedUpstream[] {
  const unfailed = upstreams.filter((it) => it.consecutiveFailures === 0);
  return unfailed.length > 0 ? unfailed : upstreams;
}
