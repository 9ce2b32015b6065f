import { setNewest } from "./bounded_map.ts";
import { CacheView } from "./cache_view.ts";
import { POLICIES, type PolicyDef, type PolicyName } from "./policies.ts";
import { refusalDelayMs } from "./refusal.ts";
import { HashRing } from "./hash_ring.ts";
import { type RouteInput, ROUTERS } from "./routers.ts";
import { SpeedEstimate } from "./speed_estimate.ts";
import {
  type LoadReport,
  type UpstreamInfo,
  UpstreamState,
} from "./upstream_state.ts";
import { QUEUES, type WaitQueue } from "./wait_queue.ts";
import type { Decision, WorkItem } from "./work.ts";

/** Result of a finished call. Sizes are in tokens, times in ms. */
export interface WorkResult {
  now: number;
  upstream: string;
  /** Prompt and output tokens; undefined if the call failed. */
  contextTokens: number | undefined;
  cachedTokens: number;
  outputTokens: number;
  firstTokenMs: number;
  decodeMs: number;
}

/** Per-caller limits that the dispatcher enforces. */
export interface DispatchLimits {
  /** Whether a caller may start a call now. */
  allows(caller: string): boolean;
  /** Records that a call was started. */
  started(work: WorkItem): void;
  /** Records that a call has finished. */
  finished(work: WorkItem): void;
}

/** Most programs whose last upstream is known; see `CacheView`. */
const MAX_PROGRAMS = 50_000;
const NO_LIMITS: DispatchLimits = {
  allows: () => true,
  started() {},
  finished() {},
};

/** Queue and upstreams of one model or route. */
interface Target {
  queue: WaitQueue;
  speed: SpeedEstimate;
  /** Names of the upstreams that serve the target. */
  members: string[];
  ring: HashRing;
}

/** If a target has at most this many upstreams, all of them are candidates. */
const ALL_CANDIDATES_LIMIT = 16;
/** Candidates selected by consistent hashing if a target has more upstreams. */
const HASHED_CANDIDATES = 6;
/** Maximum number of queued calls examined for each start. */
const MAX_EXAMINED_CALLS = 32;

/**
 * Decides which queued call starts next and on which upstream. The decisions
 * depend on the inputs only: the dispatcher reads no clock and performs no I/O.
 */
export class Dispatcher {
  readonly caches = new CacheView();
  readonly #policy: PolicyDef;
  readonly #queueLimit: () => number;
  readonly #limits: DispatchLimits;
  readonly #upstreams = new Map<string, UpstreamState>();
  readonly #targets = new Map<string, Target>();
  readonly #lastUpstream = new Map<string, string>();
  readonly #startedWork = new Map<string, WorkItem>();
  #startCount = 0;
  #queuedCount = 0;

  constructor(
    opts: {
      policy: PolicyName;
      queueLimit: () => number;
      /** Per-caller limits. Default: no limits. */
      limits?: DispatchLimits;
    },
  ) {
    this.#limits = opts.limits ?? NO_LIMITS;
    this.#policy = POLICIES[opts.policy];
    this.#queueLimit = opts.queueLimit;
  }

  /** Number of queued calls. */
  get waiting(): number {
    return this.#queuedCount;
  }

  /** Replaces the set of upstreams. */
  setUpstreams(infos: UpstreamInfo[]): void {
    const names = new Set(infos.map((info) => info.name));
    for (const name of this.#upstreams.keys()) {
      if (names.has(name)) continue;
      this.#upstreams.delete(name);
      this.caches.removeUpstream(name);
    }
    for (const info of infos) {
      const known = this.#upstreams.get(info.name);
      if (known) known.info = info;
      else this.#upstreams.set(info.name, new UpstreamState(info));
    }
    this.#rebuildTargets();
  }

  /** Returns the state of an upstream, for status reports. */
  upstream(name: string): UpstreamState | undefined {
    return this.#upstreams.get(name);
  }

  /** Returns the state of all upstreams. */
  upstreams(): Iterable<UpstreamState> {
    return this.#upstreams.values();
  }

  /** Stores the latest load report of an upstream. */
  updateLoad(upstream: string, report: LoadReport): void {
    const state = this.#upstreams.get(upstream);
    if (state) state.report = report;
  }

  /** Sends no new calls to an upstream until `until`, after a failure. */
  markDown(upstream: string, until: number): void {
    const state = this.#upstreams.get(upstream);
    if (state) state.downUntil = Math.max(state.downUntil, until);
  }

  /**
   * Queues a call. Refuses it immediately if the queue is full or no known
   * upstream is eligible for it.
   */
  submit(work: WorkItem): Decision | undefined {
    const target = this.#target(work.target);
    const isFull = this.#queuedCount >= this.#queueLimit();
    if (isFull || !this.#isServable(target, work)) {
      return this.#refuse(work, work.enqueuedAt);
    }
    target.queue.add(work);
    this.#queuedCount += 1;
    return undefined;
  }

  /** Returns the number of queued calls by caller. */
  waitingByCaller(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { queue } of this.#targets.values()) {
      for (const [caller, count] of queue.waitingByCaller()) {
        counts.set(caller, (counts.get(caller) ?? 0) + count);
      }
    }
    return counts;
  }

  /** Removes a call from the queue. */
  cancel(work: WorkItem): void {
    if (this.#target(work.target).queue.remove(work.id)) this.#queuedCount -= 1;
  }

  /**
   * Refuses queued calls whose deadline has passed at `now` and starts the calls
   * that can be started.
   */
  poll(now: number): Decision[] {
    const decisions: Decision[] = [];
    for (const target of this.#targets.values()) {
      this.#refuseExpired(target, now, decisions);
      while (this.#startNext(target, now, decisions));
    }
    return decisions;
  }

  /**
   * Records that a started call has finished, and updates the estimates of cache
   * contents and engine speed.
   */
  recordFinished(id: string, result: WorkResult): void {
    const work = this.#startedWork.get(id);
    if (!work) return;
    this.#startedWork.delete(id);
    this.#limits.finished(work);
    const state = this.#upstreams.get(result.upstream);
    const sentCall = state?.recordFinished(id, result.now);
    if (result.contextTokens === undefined || work.kind !== "engine") return;
    this.caches.recordCompletion(work.program, {
      upstream: result.upstream,
      tokens: result.contextTokens,
      at: result.now,
    });
    this.#target(work.target).speed.update({
      uncachedTokens: sentCall?.uncachedTokens ?? 0,
      firstTokenMs: result.firstTokenMs,
      outputTokens: result.outputTokens,
      decodeMs: result.decodeMs,
    });
  }

  /** Removes all data of a program that has ended. */
  removeProgram(program: string): void {
    this.#lastUpstream.delete(program);
    this.caches.removeProgram(program);
  }

  #startNext(target: Target, now: number, decisions: Decision[]): boolean {
    if (target.queue.size === 0) return false;
    if (this.#policy.canQueue && !this.#hasFreeSlot(target, now)) return false;
    const allows = (caller: string) => this.#limits.allows(caller);
    const options = { now, limit: MAX_EXAMINED_CALLS, allows };
    for (const work of target.queue.candidates(options)) {
      const input = this.#routeInput(target, work, now);
      if (input.candidates.length === 0) continue;
      const route = ROUTERS[this.#policy.router](input);
      if (!route || (this.#policy.canQueue && route.freeSlots() <= 0)) continue;
      decisions.push(this.#start(target, route, input));
      return true;
    }
    return false;
  }

  #start(
    target: Target,
    chosen: UpstreamState,
    { work, now }: RouteInput,
  ): Decision {
    const { name } = chosen.info;
    const cached = Math.min(
      work.promptTokens,
      this.caches.cachedTokens(work.program, name),
    );
    const uncachedTokens = work.promptTokens - cached;
    chosen.recordSent({
      id: work.id,
      program: work.program,
      uncachedTokens,
      outputTokens: work.expectedOutputTokens,
      sentAt: now,
      finishedAt: undefined,
    });
    target.queue.remove(work.id);
    target.queue.charge(
      work,
      uncachedTokens * target.speed.prefillMsPerToken +
        work.expectedOutputTokens * target.speed.decodeMsPerToken,
    );
    this.#queuedCount -= 1;
    this.#startCount += 1;
    this.#startedWork.set(work.id, work);
    this.#limits.started(work);
    if (work.kind === "engine") {
      setNewest(this.#lastUpstream, [work.program, name], MAX_PROGRAMS);
    }
    return {
      kind: "start",
      work,
      upstream: name,
      expectedCachedTokens: cached,
    };
  }

  #routeInput(target: Target, work: WorkItem, now: number): RouteInput {
    return {
      work,
      candidates: this.#candidates(target, work, now),
      caches: this.caches,
      speed: target.speed,
      lastUpstream: this.#lastUpstream.get(work.program),
      startCount: this.#startCount,
      now,
    };
  }

  /** Whether some upstream of the target is eligible for the call. */
  #isServable(target: Target, work: WorkItem): boolean {
    return target.members.some((name) => {
      const state = this.#upstreams.get(name);
      return state !== undefined && isEligible(state, work);
    });
  }

  #candidates(target: Target, work: WorkItem, now: number): UpstreamState[] {
    const states = this.#candidateNames(target, work)
      .map((name) => this.#upstreams.get(name))
      .filter((it) => it !== undefined)
      .filter((it) => it.isAccepting(now) && isEligible(it, work));
    return states;
  }

  #candidateNames(target: Target, work: WorkItem): string[] {
    if (target.members.length <= ALL_CANDIDATES_LIMIT) return target.members;
    const hashed = target.ring.pick(work.program, HASHED_CANDIDATES);
    const caching = this.caches.upstreamsCaching(work.program);
    return [...new Set([...caching, ...hashed])];
  }

  #hasFreeSlot(target: Target, now: number): boolean {
    return target.members.some((name) => {
      const state = this.#upstreams.get(name);
      return state !== undefined && state.isAccepting(now) &&
        state.freeSlots() > 0;
    });
  }

  #refuseExpired(target: Target, now: number, decisions: Decision[]): void {
    if (target.queue.size === 0) return;
    const expired = [...target.queue.values()].filter((it) =>
      it.deadlineAt < now
    );
    for (const work of expired) {
      target.queue.remove(work.id);
      this.#queuedCount -= 1;
      decisions.push(this.#refuse(work, now));
    }
  }

  #refuse(work: WorkItem, now: number): Decision {
    const retryAfterMs = refusalDelayMs(work, {
      waiting: this.#queuedCount,
      queueLimit: this.#queueLimit(),
      now,
    });
    return { kind: "refuse", work, retryAfterMs };
  }

  #target(name: string): Target {
    let target = this.#targets.get(name);
    if (!target) {
      target = {
        queue: QUEUES[this.#policy.order](),
        speed: new SpeedEstimate(),
        members: [],
        ring: new HashRing([]),
      };
      this.#targets.set(name, target);
      this.#rebuildTarget(name, target);
    }
    return target;
  }

  #rebuildTargets(): void {
    for (const [name, target] of this.#targets) {
      this.#rebuildTarget(name, target);
    }
  }

  #rebuildTarget(name: string, target: Target): void {
    target.members = [...this.#upstreams.values()]
      .filter((it) => it.info.serves.includes(name))
      .map((it) => it.info.name);
    target.ring = new HashRing(target.members);
  }
}

function isEligible(upstream: UpstreamState, work: WorkItem): boolean {
  if (upstream.info.kind !== work.kind) return false;
  if (work.excluded.includes(upstream.info.name)) return false;
  return work.dataCentres.length === 0 ||
    work.dataCentres.includes(upstream.info.dataCentre);
}
