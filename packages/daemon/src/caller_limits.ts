import { rankByRendezvous } from "@toucantrestle/membership";
import {
  type Demand,
  type Grant,
  ShareAllocator,
  ShareHolder,
  type WorkItem,
} from "@toucantrestle/policy";
import type { SiblingNet } from "@toucantrestle/sibling";
import type { TableView } from "@toucantrestle/table";
import type { Timer } from "@toucantrestle/timer";
import type { StoreView } from "./store_view.ts";

const ASK_MS = 500;
const MIN_ASK_GAP_MS = 50;
const ASK_TIMEOUT_MS = 1_000;
const MS_PER_S = 1_000;
/** Rounding must not take away a call that a share covers exactly. */
const ROUNDING = 1e-6;

interface Usage {
  running: number;
  /** Tokens that may be used now; below zero after a large call. */
  tokens: number;
  filledAt: number;
}

/**
 * Limits of callers over the whole fleet. This daemon uses the part of each
 * limit that it was granted; one daemon grants the parts of all limits.
 */
export class CallerLimits {
  readonly #view: StoreView;
  readonly #table: () => TableView;
  readonly #net: () => SiblingNet;
  readonly #timer: Timer;
  readonly #selfHost: string;
  readonly #holder = new ShareHolder();
  readonly #usage = new Map<string, Usage>();
  readonly #waiting: () => Map<string, number>;
  readonly #onGranted: () => void;
  #ledger: ShareAllocator | undefined;
  #askedAt = 0;
  #isAsking = false;

  constructor(
    opts: {
      view: StoreView;
      net: () => SiblingNet;
      timer: Timer;
      selfHost: string;
      /** Waiting calls by caller. */
      waiting: () => Map<string, number>;
      /** More may be started than before. */
      onGranted: () => void;
    },
  ) {
    this.#view = opts.view;
    this.#table = () => opts.view.tableView;
    this.#net = opts.net;
    this.#timer = opts.timer;
    this.#selfHost = opts.selfHost;
    this.#waiting = opts.waiting;
    this.#onGranted = opts.onGranted;
    this.#timer.every(ASK_MS, () => this.#ask());
  }

  /** Whether a caller may start a call now. */
  allows(caller: string): boolean {
    const policy = this.#table().callers.get(caller);
    if (!policy) return true;
    const fraction = this.#fraction(caller, policy.maxCalls);
    const usage = this.#usageOf(caller);
    this.#fill(usage, policy.tokensPerS * fraction);
    const maxCalls = Math.floor(policy.maxCalls * fraction + ROUNDING);
    const isAllowed = usage.running < maxCalls && usage.tokens > 0;
    if (!isAllowed) this.#askSoon();
    return isAllowed;
  }

  /** Notes that a call was started. */
  started(work: WorkItem): void {
    const usage = this.#usageOf(work.caller);
    usage.running += 1;
    usage.tokens -= work.promptTokens + work.expectedOutputTokens;
  }

  /** Notes that a call has ended. */
  finished(work: WorkItem): void {
    this.#usageOf(work.caller).running -= 1;
  }

  /** Grants parts of limits to a sibling, or to this daemon itself. */
  grant(host: string, demands: Demand[]): Grant[] {
    const now = this.#timer.now();
    this.#ledger ??= new ShareAllocator(now);
    const hosts = this.#hosts();
    if (!hosts.includes(host)) hosts.push(host);
    return this.#ledger.updateDemands(host, demands, { now, hosts });
  }

  #fraction(caller: string, limit: number): number {
    return this.#holder.fraction(caller, {
      limit,
      now: this.#timer.now(),
      hosts: Math.max(1, this.#hosts().length),
    });
  }

  #askSoon(): void {
    const age = this.#timer.now() - this.#askedAt;
    if (!this.#isAsking && age >= MIN_ASK_GAP_MS) this.#ask();
  }

  async #ask(): Promise<void> {
    if (this.#isAsking || this.#hosts().length === 0) return;
    this.#isAsking = true;
    const askedAt = this.#timer.now();
    this.#askedAt = askedAt;
    const demands = this.#demands();
    const ask = this.#holder.startRequest(askedAt);
    try {
      this.#holder.acceptGrants(await this.#request(demands), ask);
      this.#onGranted();
    } catch {
      // The holder falls back to an even share by itself.
    } finally {
      this.#isAsking = false;
    }
  }

  async #request(demands: Demand[]): Promise<Grant[]> {
    const granter = this.#granter();
    if (!granter) return this.grant(this.#selfHost, demands);
    this.#ledger = undefined;
    const session = this.#net().requireSession(granter);
    const args = { host: this.#selfHost, demands };
    return (await session.rpc("shares", args, ASK_TIMEOUT_MS)).grants;
  }

  /** The host that grants; undefined if that is this one. */
  #granter() {
    const [name] = rankByRendezvous("limits", this.#hosts());
    if (name === this.#selfHost) return undefined;
    return [...this.#view.hosts.values()].find((it) => it.host === name);
  }

  #demands(): Demand[] {
    const waiting = this.#waiting();
    const callers = new Set([...waiting.keys(), ...this.#usage.keys()]);
    const demands: Demand[] = [];
    for (const caller of callers) {
      const { running } = this.#usageOf(caller);
      const calls = running + (waiting.get(caller) ?? 0);
      if (calls === 0) continue;
      const limit = this.#table().callers.get(caller)?.maxCalls;
      if (limit === undefined) continue;
      demands.push({ caller, calls, limit, used: running / limit });
    }
    return demands;
  }

  #hosts(): string[] {
    return [...this.#view.hosts.values()].map((it) => it.host);
  }

  #usageOf(caller: string): Usage {
    let usage = this.#usage.get(caller);
    if (!usage) {
      usage = { running: 0, tokens: 1, filledAt: this.#timer.now() };
      this.#usage.set(caller, usage);
    }
    return usage;
  }

  /** Holds at most one second's worth of tokens. */
  #fill(usage: Usage, tokensPerS: number): void {
    const now = this.#timer.now();
    const gained = (now - usage.filledAt) * tokensPerS / MS_PER_S;
    usage.tokens = Math.min(Math.max(1, tokensPerS), usage.tokens + gained);
    usage.filledAt = now;
  }
}
