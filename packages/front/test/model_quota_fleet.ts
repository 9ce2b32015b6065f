import { createNoopLoggers } from "@toucantrestle/log";
import { createNoopMetrics } from "@toucantrestle/metrics";
import {
  allocatorOf,
  type Decision,
  DEFAULT_BOUNDS,
  maxInWindow,
  type Quota,
  type QuotaQuery,
  type QuotaReply,
  type RequestKind,
} from "@toucantrestle/quota";
import type { Timer } from "@toucantrestle/timer";
import { FleetShare } from "../src/fleet_share.ts";
import { QuotaClient } from "../src/quota_client.ts";
import { WheelTimer } from "./wheel_timer.ts";

const STEP_MS = 2;
const LATENCY_MS = 1;
/** A front that ends closes its links; a silent one is noticed later. */
const CLOSED_LAG_MS = 100;
const SILENT_LAG_MS = 1_500;
const LAG_SPREAD_MS = 500;

/** Options of `ModelQuotaFleet`. */
export interface ModelQuotaFleetOptions {
  fronts: number;
  quotas: ReadonlyMap<string, Quota>;
  isFirstStart?: boolean;
  seed?: number;
}

/** A front of the model; `boot` counts its starts. */
interface ModelFront {
  name: string;
  boot: number;
  side: number;
  isRunning: boolean;
  isFrozen: boolean;
  /** Callbacks that are due while the front is frozen. */
  backlog: (() => void)[];
  /** Connected siblings as this front knows them. */
  view: string[];
  client: QuotaClient;
}

/** Fronts that share quotas over a model of their links, on a manual clock. */
export class ModelQuotaFleet {
  readonly #timer = new WheelTimer(1_000_000);
  readonly #fronts = new Map<string, ModelFront>();
  readonly #runs = new Map<string, number[]>();
  readonly random: () => number;
  #quotas: ReadonlyMap<string, Quota>;
  readonly #isFirstStart: boolean;
  /** Number of queries sent to other fronts. */
  queries = 0;

  constructor(opts: ModelQuotaFleetOptions) {
    this.random = createRandom(opts.seed ?? 1);
    this.#quotas = opts.quotas;
    this.#isFirstStart = opts.isFirstStart ?? false;
    for (let i = 0; i < opts.fronts; i++) this.add(`front-${i}`);
    for (const front of this.#fronts.values()) this.#updateView(front);
  }

  get now(): number {
    return this.#timer.monotonicNow();
  }

  get names(): string[] {
    return [...this.#fronts.keys()];
  }

  /** Adds a front, or starts one again that has ended. */
  add(name: string): void {
    const boot = (this.#fronts.get(name)?.boot ?? 0) + 1;
    const front: ModelFront = {
      name,
      boot,
      side: this.#fronts.get(name)?.side ?? 0,
      isRunning: true,
      isFrozen: false,
      backlog: [],
      view: [],
      client: undefined as unknown as QuotaClient,
    };
    front.client = this.#createClient(front);
    this.#fronts.set(name, front);
    front.client.setQuotas(this.#quotas);
    this.#announce(CLOSED_LAG_MS);
  }

  /** Returns the front that is the allocator of a group while all are well. */
  allocator(group: number): string {
    const running = [...this.#fronts.values()].filter((it) => it.isRunning);
    return allocatorOf(group, running.map((it) => it.name)) ?? "";
  }

  kill(name: string): void {
    const front = this.#front(name);
    front.isRunning = false;
    this.#announce(CLOSED_LAG_MS);
  }

  freeze(name: string): void {
    this.#front(name).isFrozen = true;
    this.#announce(SILENT_LAG_MS);
  }

  /** Lets a frozen front run what has become due, in the order of its time. */
  resume(name: string): void {
    const front = this.#front(name);
    front.isFrozen = false;
    for (const fn of front.backlog.splice(0)) fn();
    this.#announce(CLOSED_LAG_MS);
  }

  /** Splits the fronts; those on different sides do not reach each other. */
  partition(sideOf: (index: number) => number): void {
    [...this.#fronts.values()].forEach((front, i) => front.side = sideOf(i));
    this.#announce(SILENT_LAG_MS);
  }

  heal(): void {
    for (const front of this.#fronts.values()) front.side = 0;
    this.#announce(CLOSED_LAG_MS);
  }

  setQuotas(quotas: ReadonlyMap<string, Quota>): void {
    this.#quotas = quotas;
    for (const { client, isRunning } of this.#fronts.values()) {
      if (isRunning) client.setQuotas(quotas);
    }
  }

  /** Sends a request through a front; undefined if the front cannot answer. */
  async request(
    front: string,
    organisation: string,
    kind: RequestKind,
  ): Promise<Decision["kind"] | undefined> {
    const quota = this.#quotas.get(organisation);
    const { client, isRunning, isFrozen, boot } = this.#front(front);
    if (!quota || !isRunning || isFrozen) return undefined;
    const decision = await client.admit({ name: organisation, quota }, kind);
    if (decision.kind !== "admitted") return decision.kind;
    const it = this.#front(front);
    if (!it.isRunning || it.isFrozen || it.boot !== boot) return undefined;
    if (!client.use(decision.admission)) return "denied";
    const times = this.#runs.get(organisation) ?? [];
    this.#runs.set(organisation, times);
    times.push(this.now);
    return "admitted";
  }

  /** Advances the time; `onStep` is called at each step. */
  async advance(ms: number, onStep: () => void = () => {}): Promise<void> {
    const end = this.now + ms;
    while (this.now < end) {
      onStep();
      this.#timer.advance(STEP_MS);
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  runs(organisation: string): readonly number[] {
    return this.#runs.get(organisation) ?? [];
  }

  /** Most requests in a window less what the rule allows; at most 0. */
  excess(organisation: string, quota: Quota, since = 0): number {
    const times = this.runs(organisation).filter((it) => it >= since);
    let first = 0;
    let most = 0;
    times.forEach((time, i) => {
      while (time - (times[first] ?? 0) >= DEFAULT_BOUNDS.windowMs) first += 1;
      most = Math.max(most, i - first + 1);
    });
    return most - maxInWindow(quota, DEFAULT_BOUNDS);
  }

  #front(name: string): ModelFront {
    const front = this.#fronts.get(name);
    if (!front) throw new Error(`no front ${name}`);
    return front;
  }

  #createClient(front: ModelFront): QuotaClient {
    const timer = this.#timerOf(front);
    return new QuotaClient({
      self: front.name,
      processId: `${front.name}/${front.boot}`,
      bounds: DEFAULT_BOUNDS,
      isFirstStart: this.#isFirstStart,
      candidates: () => [front.name, ...front.view],
      share: new FleetShare({
        self: front.name,
        timer,
        connectedSiblings: () => front.view,
        registeredFronts: () => this.names,
      }),
      links: {
        queryQuota: (host, query, timeoutMs) =>
          this.#deliver(front, host, { query, timeoutMs }),
        dialAhead() {},
      },
      random: this.random,
      timer,
      metrics: createNoopMetrics(),
      log: createNoopLoggers()("quota"),
    });
  }

  #deliver(
    from: ModelFront,
    host: string,
    { query, timeoutMs }: { query: QuotaQuery; timeoutMs: number },
  ): Promise<QuotaReply> {
    this.queries += 1;
    return new Promise((resolve, reject) => {
      this.#timerOf(from).after(
        timeoutMs,
        () => reject(new Error("no answer")),
      );
      const to = this.#fronts.get(host);
      if (!to || !this.#reaches(from, to)) return;
      this.#timerOf(to).after(LATENCY_MS, () => {
        const reply = to.client.answer(query);
        this.#timerOf(from).after(LATENCY_MS, () => resolve(reply));
      });
    });
  }

  #reaches(from: ModelFront, to: ModelFront): boolean {
    return from.isRunning && to.isRunning && from.side === to.side;
  }

  /** The fronts learn of a change after some time, each at its own. */
  #announce(lagMs: number): void {
    for (const front of this.#fronts.values()) {
      const delayMs = lagMs + this.random() * LAG_SPREAD_MS;
      this.#timerOf(front).after(delayMs, () => this.#updateView(front));
    }
  }

  #updateView(front: ModelFront): void {
    front.view = [...this.#fronts.values()]
      .filter((it) => it !== front && !it.isFrozen && this.#reaches(front, it))
      .map((it) => it.name);
  }

  /** Clock of a front: nothing is called once it has ended or while frozen. */
  #timerOf(front: ModelFront): Timer {
    const base = this.#timer;
    const guard = (fn: () => void) => () => {
      if (!front.isRunning || this.#fronts.get(front.name) !== front) return;
      if (front.isFrozen) front.backlog.push(fn);
      else fn();
    };
    return {
      now: () => base.now(),
      monotonicNow: () => base.monotonicNow(),
      after: (delayMs, fn) => base.after(delayMs, guard(fn)),
      afterAbout: (delayMs, fn) => base.after(delayMs, guard(fn)),
      every: (intervalMs, fn) => base.every(intervalMs, guard(fn)),
    };
  }
}

/** Returns a generator of numbers from 0 to 1 (mulberry32). */
function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let t = Math.imul(state ^ (state >>> 15), state | 1);
    t ^= t + Math.imul(t ^ (t >>> 7), t | 61);
    return ((t ^ (t >>> 14)) >>> 0) / 4_294_967_296;
  };
}

/** Returns quotas of skewed size: some 400/s for the largest, 1/s at the end. */
export function skewedQuotas(count: number): Map<string, Quota> {
  return new Map(
    Array.from({ length: count }, (_, i) => {
      const ratePerS = 400 / (i + 1) ** 1.35;
      return [`org-${i}`, { ratePerS, burst: Math.max(0.5, ratePerS / 2) }];
    }),
  );
}
