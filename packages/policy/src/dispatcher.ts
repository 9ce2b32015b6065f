import { CacheView } from "./cache_view.ts";
import { POLICIES, type PolicyDef, type PolicyName } from "./policies.ts";
import { refusalDelayMs } from "./refusal.ts";
import { Ring } from "./ring.ts";
import { type RouteInput, ROUTERS } from "./routers.ts";
import { SpeedEstimate } from "./speed_estimate.ts";
import {
  type LoadReport,
  type UpstreamInfo,
  UpstreamState,
} from "./upstream_state.ts";
import { QUEUES, type WaitQueue } from "./wait_queue.ts";
import type { Decision, Work } from "./work.ts";

/** Result of a call as the dispatcher learns it. Sizes in tokens. */
export interface WorkResult {
  now: number;
  upstream: string;
  /** Prompt and output; undefined when the call failed. */
  contextTokens: number | undefined;
  cachedTokens: number;
  outputTokens: number;
  firstTokenMs: number;
  decodeMs: number;
}

/** Limits of callers that the dispatcher keeps to. */
export interface DispatchLimits {
  allows(caller: string): boolean;
  started(work: Work): void;
  finished(work: Work): void;
}

const NO_LIMITS: DispatchLimits = {
  allows: () => true,
  started() {},
  finished() {},
};

interface Target {
  queue: WaitQueue;
  speed: SpeedEstimate;
  members: string[];
  ring: Ring;
}

/** Up to this many upstreams of a target all are candidates. */
const ALL_CANDIDATES_LIMIT = 16;
/** Candidates by hashing among more upstreams. */
const HASHED_CANDIDATES = 6;
/** Works looked at in one poll of a target. */
const LOOKAHEAD = 32;

/**
 * Decides which waiting call starts next and on which upstream. It is driven
 * by its inputs alone: no clock, no I/O.
 */
export class Dispatcher {
  readonly caches = new CacheView();
  readonly #policy: PolicyDef;
  readonly #queueLimit: () => number;
  readonly #limits: DispatchLimits;
  readonly #upstreams = new Map<string, UpstreamState>();
  readonly #targets = new Map<string, Target>();
  readonly #lastUpstream = new Map<string, string>();
  readonly #placed = new Map<string, Work>();
  #turn = 0;
  #waiting = 0;

  constructor(
    opts: {
      policy: PolicyName;
      queueLimit: () => number;
      /** Limits of callers; none where it is absent. */
      limits?: DispatchLimits;
    },
  ) {
    this.#limits = opts.limits ?? NO_LIMITS;
    this.#policy = POLICIES[opts.policy];
    this.#queueLimit = opts.queueLimit;
  }

  /** Calls that wait. */
  get waiting(): number {
    return this.#waiting;
  }

  /** Sets the upstreams that exist now. */
  setUpstreams(infos: UpstreamInfo[]): void {
    const names = new Set(infos.map((info) => info.name));
    for (const name of this.#upstreams.keys()) {
      if (names.has(name)) continue;
      this.#upstreams.delete(name);
      this.caches.forgetUpstream(name);
    }
    for (const info of infos) {
      const known = this.#upstreams.get(info.name);
      if (known) known.info = info;
      else this.#upstreams.set(info.name, new UpstreamState(info));
    }
    this.#rebuildTargets();
  }

  /** State of an upstream, for reports. */
  upstream(name: string): UpstreamState | undefined {
    return this.#upstreams.get(name);
  }

  /** All upstreams. */
  upstreams(): Iterable<UpstreamState> {
    return this.#upstreams.values();
  }

  /** Takes a load report. */
  report(upstream: string, report: LoadReport): void {
    const state = this.#upstreams.get(upstream);
    if (state) state.report = report;
  }

  /** Keeps new work from an upstream for a while after a failure. */
  markDown(upstream: string, until: number): void {
    const state = this.#upstreams.get(upstream);
    if (state) state.downUntil = Math.max(state.downUntil, until);
  }

  /**
   * Adds a call, or refuses it at once when too many wait, or when no upstream
   * can ever take it.
   */
  submit(work: Work): Decision | undefined {
    const target = this.#target(work.target);
    const isFull = this.#waiting >= this.#queueLimit();
    if (isFull || !this.#isServable(target, work)) {
      return this.#refuse(work, work.enqueuedAt);
    }
    target.queue.add(work);
    this.#waiting += 1;
    return undefined;
  }

  /** Waiting calls by caller. */
  waitingByCaller(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { queue } of this.#targets.values()) {
      for (const [caller, count] of queue.waitingByCaller()) {
        counts.set(caller, (counts.get(caller) ?? 0) + count);
      }
    }
    return counts;
  }

  /** Takes back a call that waits. */
  cancel(work: Work): void {
    if (this.#target(work.target).queue.remove(work.id)) this.#waiting -= 1;
  }

  /** Starts and refuses what is due at `now`. */
  poll(now: number): Decision[] {
    const decisions: Decision[] = [];
    for (const target of this.#targets.values()) {
      this.#refuseLate(target, now, decisions);
      while (this.#startOne(target, now, decisions));
    }
    return decisions;
  }

  /** Notes that a started call has ended. */
  finished(id: string, result: WorkResult): void {
    const work = this.#placed.get(id);
    if (!work) return;
    this.#placed.delete(id);
    this.#limits.finished(work);
    const state = this.#upstreams.get(result.upstream);
    const send = state?.finished(id, result.now);
    if (result.contextTokens === undefined || work.kind !== "engine") return;
    this.caches.noteSend(work.program, {
      upstream: result.upstream,
      tokens: result.contextTokens,
      at: result.now,
    });
    this.#target(work.target).speed.learn({
      uncachedTokens: send?.uncachedTokens ?? 0,
      firstTokenMs: result.firstTokenMs,
      outputTokens: result.outputTokens,
      decodeMs: result.decodeMs,
    });
  }

  /** Forgets a program that has ended. */
  forgetProgram(program: string): void {
    this.#lastUpstream.delete(program);
    this.caches.forgetProgram(program);
  }

  #startOne(target: Target, now: number, decisions: Decision[]): boolean {
    if (target.queue.size === 0) return false;
    if (this.#policy.holds && !this.#hasRoom(target, now)) return false;
    const allows = (caller: string) => this.#limits.allows(caller);
    const options = { now, limit: LOOKAHEAD, allows };
    for (const work of target.queue.candidates(options)) {
      const input = this.#routeInput(target, work, now);
      if (input.candidates.length === 0) continue;
      const chosen = ROUTERS[this.#policy.router](input);
      if (!chosen || (this.#policy.holds && chosen.room() <= 0)) continue;
      decisions.push(this.#start(target, chosen, input));
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
    chosen.sent({
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
        work.expectedOutputTokens * target.speed.tokenMs,
    );
    this.#waiting -= 1;
    this.#turn += 1;
    this.#placed.set(work.id, work);
    this.#limits.started(work);
    if (work.kind === "engine") this.#lastUpstream.set(work.program, name);
    return {
      kind: "start",
      work,
      upstream: name,
      believedCachedTokens: cached,
    };
  }

  #routeInput(target: Target, work: Work, now: number): RouteInput {
    return {
      work,
      candidates: this.#candidates(target, work, now),
      caches: this.caches,
      speed: target.speed,
      lastUpstream: this.#lastUpstream.get(work.program),
      turn: this.#turn,
      now,
    };
  }

  /** Some upstream serves the target and was not excluded. */
  #isServable(target: Target, work: Work): boolean {
    return target.members.some((name) => {
      const state = this.#upstreams.get(name);
      return state !== undefined && isAllowed(state, work);
    });
  }

  #candidates(target: Target, work: Work, now: number): UpstreamState[] {
    const states = this.#candidateNames(target, work)
      .map((name) => this.#upstreams.get(name))
      .filter((it) => it !== undefined)
      .filter((it) => it.isAccepting(now) && isAllowed(it, work));
    return states;
  }

  #candidateNames(target: Target, work: Work): string[] {
    if (target.members.length <= ALL_CANDIDATES_LIMIT) return target.members;
    const hashed = target.ring.pick(work.program, HASHED_CANDIDATES);
    const holders = this.caches.holders(work.program);
    return [...new Set([...holders, ...hashed])];
  }

  #hasRoom(target: Target, now: number): boolean {
    return target.members.some((name) => {
      const state = this.#upstreams.get(name);
      return state !== undefined && state.isAccepting(now) && state.room() > 0;
    });
  }

  #refuseLate(target: Target, now: number, decisions: Decision[]): void {
    if (target.queue.size === 0) return;
    const late = [...target.queue.values()].filter((it) => it.deadlineAt < now);
    for (const work of late) {
      target.queue.remove(work.id);
      this.#waiting -= 1;
      decisions.push(this.#refuse(work, now));
    }
  }

  #refuse(work: Work, now: number): Decision {
    const retryAfterMs = refusalDelayMs(work, {
      waiting: this.#waiting,
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
        ring: new Ring([]),
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
    target.ring = new Ring(target.members);
  }
}

function isAllowed(upstream: UpstreamState, work: Work): boolean {
  if (upstream.info.kind !== work.kind) return false;
  if (work.excluded.includes(upstream.info.name)) return false;
  return work.dataCentres.length === 0 ||
    work.dataCentres.includes(upstream.info.dataCentre);
}
