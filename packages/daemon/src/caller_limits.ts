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

const REQUEST_INTERVAL_MS = 500;
const MIN_REQUEST_GAP_MS = 50;
const REQUEST_TIMEOUT_MS = 1_000;
const MS_PER_S = 1_000;
/**
 * Tolerance for floating-point errors, so that rounding down does not remove a
 * call that a share covers exactly.
 */
const ROUNDING_TOLERANCE = 1e-6;

/** Usage of a caller's limits on this daemon. */
interface Usage {
  running: number;
  /** Tokens that are available now; negative after a large call. */
  tokens: number;
  filledAt: number;
}

/**
 * Enforces the callers' limits across the fleet. Each daemon uses the share of a
 * limit that it was granted. One daemon, selected by rendezvous hashing,
 * allocates the shares of all limits.
 */
export class CallerLimits {
  readonly #view: StoreView;
  readonly #table: () => TableView;
  readonly #net: () => SiblingNet;
  readonly #timer: Timer;
  readonly #selfHost: string;
  readonly #shareHolder = new ShareHolder();
  readonly #usage = new Map<string, Usage>();
  readonly #countWaitingByCaller: () => Map<string, number>;
  readonly #onGranted: () => void;
  #allocator: ShareAllocator | undefined;
  #lastRequestAt = 0;
  #isRequesting = false;

  constructor(
    opts: {
      view: StoreView;
      net: () => SiblingNet;
      timer: Timer;
      selfHost: string;
      /** Returns the number of queued calls by caller. */
      waiting: () => Map<string, number>;
      /** Called after new grants, which may allow more calls to start. */
      onGranted: () => void;
    },
  ) {
    this.#view = opts.view;
    this.#table = () => opts.view.tableView;
    this.#net = opts.net;
    this.#timer = opts.timer;
    this.#selfHost = opts.selfHost;
    this.#countWaitingByCaller = opts.waiting;
    this.#onGranted = opts.onGranted;
    this.#timer.every(REQUEST_INTERVAL_MS, () => this.#requestShares());
  }

  /** Whether a caller may start a call now. */
  allows(caller: string): boolean {
    const policy = this.#table().callers.get(caller);
    if (!policy) return true;
    const fraction = this.#getFraction(caller, policy.maxCalls);
    const usage = this.#getUsage(caller);
    this.#refillTokens(usage, policy.tokensPerS * fraction);
    const maxCalls = Math.floor(
      policy.maxCalls * fraction + ROUNDING_TOLERANCE,
    );
    const isAllowed = usage.running < maxCalls && usage.tokens > 0;
    if (!isAllowed) this.#requestSharesIfDue();
    return isAllowed;
  }

  /** Records that a call was started. */
  started(work: WorkItem): void {
    const usage = this.#getUsage(work.caller);
    usage.running += 1;
    usage.tokens -= work.promptTokens + work.expectedOutputTokens;
  }

  /** Records that a call has finished. */
  finished(work: WorkItem): void {
    this.#getUsage(work.caller).running -= 1;
  }

  /** Grants shares of limits to a sibling or to this daemon. */
  grantShares(host: string, demands: Demand[]): Grant[] {
    const now = this.#timer.now();
    this.#allocator ??= new ShareAllocator(now);
    const hosts = this.#listHosts();
    if (!hosts.includes(host)) hosts.push(host);
    return this.#allocator.updateDemands(host, demands, { now, hosts });
  }

  #getFraction(caller: string, limit: number): number {
    return this.#shareHolder.fraction(caller, {
      limit,
      now: this.#timer.now(),
      hosts: Math.max(1, this.#listHosts().length),
    });
  }

  #requestSharesIfDue(): void {
    const age = this.#timer.now() - this.#lastRequestAt;
    if (!this.#isRequesting && age >= MIN_REQUEST_GAP_MS) this.#requestShares();
  }

  async #requestShares(): Promise<void> {
    if (this.#isRequesting || this.#listHosts().length === 0) return;
    this.#isRequesting = true;
    const requestedAt = this.#timer.now();
    this.#lastRequestAt = requestedAt;
    const demands = this.#collectDemands();
    const requestNumber = this.#shareHolder.startRequest(requestedAt);
    try {
      this.#shareHolder.acceptGrants(
        await this.#fetchGrants(demands),
        requestNumber,
      );
      this.#onGranted();
    } catch {
      // Without new grants the share holder falls back to an even share.
    } finally {
      this.#isRequesting = false;
    }
  }

  async #fetchGrants(demands: Demand[]): Promise<Grant[]> {
    const allocator = this.#findRemoteAllocator();
    if (!allocator) return this.grantShares(this.#selfHost, demands);
    this.#allocator = undefined;
    const session = this.#net().requireSession(allocator);
    const args = { host: this.#selfHost, demands };
    return (await session.rpc("shares", args, REQUEST_TIMEOUT_MS)).grants;
  }

  /**
   * Returns the host that allocates the shares; undefined if it is this daemon.
   */
  #findRemoteAllocator() {
    const [name] = rankByRendezvous("limits", this.#listHosts());
    if (name === this.#selfHost) return undefined;
    return [...this.#view.hosts.values()].find((it) => it.host === name);
  }

  #collectDemands(): Demand[] {
    const waiting = this.#countWaitingByCaller();
    const callers = new Set([...waiting.keys(), ...this.#usage.keys()]);
    const demands: Demand[] = [];
    for (const caller of callers) {
      const { running } = this.#getUsage(caller);
      const calls = running + (waiting.get(caller) ?? 0);
      if (calls === 0) continue;
      const limit = this.#table().callers.get(caller)?.maxCalls;
      if (limit === undefined) continue;
      demands.push({ caller, calls, limit, used: running / limit });
    }
    return demands;
  }

  #listHosts(): string[] {
    return [...this.#view.hosts.values()].map((it) => it.host);
  }

  #getUsage(caller: string): Usage {
    let usage = this.#usage.get(caller);
    if (!usage) {
      usage = { running: 0, tokens: 1, filledAt: this.#timer.now() };
      this.#usage.set(caller, usage);
    }
    return usage;
  }

  /** Refills the token bucket, up to the tokens of one second. */
  #refillTokens(usage: Usage, tokensPerS: number): void {
    const now = this.#timer.now();
    const refill = (now - usage.filledAt) * tokensPerS / MS_PER_S;
    usage.tokens = Math.min(Math.max(1, tokensPerS), usage.tokens + refill);
    usage.filledAt = now;
  }
}
