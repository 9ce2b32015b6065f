/** What a host wants of a caller's limit. */
export interface Demand {
  caller: string;
  /** Calls that run or wait. */
  calls: number;
  /** The whole limit, in calls. */
  limit: number;
  /** Part of the limit that running calls take up already, from 0 to 1. */
  used: number;
}

/** Part of a caller's limit that a host may use, from 0 to 1. */
export interface Grant {
  caller: string;
  fraction: number;
}

/** A grant holds this long from the time at which it was asked for, in ms. */
export const GRANT_MS = 2_000;
/**
 * A host whose grants ran out takes back what it lent only after this, when
 * everything that was granted on the strength of it has run out too, in ms.
 */
export const TAKE_BACK_MS = GRANT_MS + 500;
/** Part of its even share that a host never lends. */
const KEPT_PART = 0.5;

interface HostState {
  reportedAt: number;
  demands: Map<string, number>;
  grants: Map<string, number>;
}

/**
 * Grants parts of callers' limits to hosts by their demand. The grants in
 * force and the even shares of hosts that do not report never add up to more
 * than the whole.
 */
export class ShareLedger {
  readonly #hosts = new Map<string, HostState>();
  readonly #startedAt: number;

  constructor(now: number) {
    this.#startedAt = now;
  }

  /**
   * Takes a host's demands and returns its grants; callers that are not named
   * get the part that the host never lends.
   *
   * @param hosts names of all hosts that may use a share
   */
  report(
    host: string,
    demands: Demand[],
    opts: { now: number; hosts: string[] },
  ): Grant[] {
    const { now } = opts;
    const wanted = new Map(demands.map((it) => [it.caller, it.calls]));
    const state: HostState = {
      reportedAt: now,
      demands: wanted,
      grants: new Map(),
    };
    this.#hosts.set(host, state);
    for (const demand of demands) {
      const fraction = this.#fractionFor(host, demand, opts);
      state.grants.set(demand.caller, fraction);
    }
    return [...state.grants].map(([caller, fraction]) => ({
      caller,
      fraction,
    }));
  }

  #fractionFor(
    host: string,
    { caller, limit, calls, used }: Demand,
    { now, hosts }: { now: number; hosts: string[] },
  ): number {
    const even = 1 / hosts.length;
    const kept = keptFraction(hosts.length, limit);
    // Grants of the one that granted before may still be in force.
    if (now - this.#startedAt < TAKE_BACK_MS) return kept;
    let lendable = 1 - kept;
    let demand = 0;
    let taken = 0;
    for (const other of hosts) {
      const state = this.#hosts.get(other);
      const isFresh = state && now - state.reportedAt < GRANT_MS;
      if (isFresh) demand += state.demands.get(caller) ?? 0;
      if (other === host) continue;
      lendable -= isFresh ? kept : even;
      if (isFresh) taken += (state.grants.get(caller) ?? kept) - kept;
    }
    if (calls === 0) return kept;
    const free = Math.max(0, lendable - taken);
    const target = Math.max(0, lendable) * calls / demand;
    // A part of a call is of no use to anybody.
    const oneCall = 1 / limit;
    const wanted = Math.max(target, oneCall, used - kept);
    const granted = kept + Math.min(wanted, free);
    return granted < oneCall ? kept : granted;
  }
}

/** What a host may use of callers' limits, by what it was granted. */
export class ShareHolder {
  #grants = new Map<string, number>();
  #askedAt: number | undefined;
  /** Counts what was asked; two asks may fall into the same millisecond. */
  #lastAsk = 0;
  #isAnswered = false;

  /**
   * Notes that grants are asked for. Until the answer comes no more than the
   * kept part is used, since the rest may be granted to others meanwhile.
   * Returns the number of the ask, which its answer is taken with.
   */
  ask(now: number): number {
    this.#askedAt = now;
    this.#lastAsk += 1;
    this.#isAnswered = false;
    return this.#lastAsk;
  }

  /** Takes the answer to an ask; one to an earlier ask is ignored. */
  take(grants: Grant[], ask: number): void {
    if (ask !== this.#lastAsk) return;
    this.#isAnswered = true;
    this.#grants = new Map(grants.map((it) => [it.caller, it.fraction]));
  }

  /** Part of a caller's limit that may be used now. */
  fraction(
    caller: string,
    opts: { now: number; hosts: number; limit: number },
  ): number {
    const kept = keptFraction(opts.hosts, opts.limit);
    const even = 1 / opts.hosts;
    if (this.#askedAt === undefined) return even;
    const age = opts.now - this.#askedAt;
    if (this.#isAnswered && age < GRANT_MS) {
      return this.#grants.get(caller) ?? kept;
    }
    return age < GRANT_MS + TAKE_BACK_MS ? kept : even;
  }
}

/** Nothing is kept of a limit so small that the part is under one call. */
function keptFraction(hosts: number, limit: number): number {
  const kept = KEPT_PART / hosts;
  return kept * limit < 1 ? 0 : kept;
}
