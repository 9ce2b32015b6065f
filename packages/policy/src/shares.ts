/** A host's demand for a part of a caller's limit. */
export interface Demand {
  caller: string;
  /** Number of running and queued calls. */
  calls: number;
  /** The caller's total limit in concurrent calls. */
  limit: number;
  /** Fraction of the limit that running calls already occupy, from 0 to 1. */
  used: number;
}

/** Fraction, from 0 to 1, of a caller's limit that a host may use. */
export interface Grant {
  caller: string;
  fraction: number;
}

/** Validity of a grant in ms, counted from the time of its request. */
export const GRANT_TTL_MS = 2_000;
/**
 * Delay in ms after which a host whose grants expired reclaims its even share.
 * By then all grants that were made to other hosts from this share have expired
 * too.
 */
export const RECLAIM_DELAY_MS = GRANT_TTL_MS + 500;
/** Fraction of its even share that is always reserved for a host. */
const RESERVED_FRACTION = 0.5;

interface HostState {
  reportedAt: number;
  demands: Map<string, number>;
  grants: Map<string, number>;
}

/**
 * Grants fractions of callers' limits to hosts according to their demand. The
 * sum of the valid grants and of the even shares of hosts that do not report
 * never exceeds the limit.
 */
export class ShareAllocator {
  readonly #hosts = new Map<string, HostState>();
  readonly #startedAt: number;

  constructor(now: number) {
    this.#startedAt = now;
  }

  /**
   * Stores a host's demands and returns its grants. For callers without a
   * demand the host may use its reserved fraction only.
   *
   * @param hosts names of all hosts that may use a share
   */
  updateDemands(
    host: string,
    demands: Demand[],
    opts: { now: number; hosts: string[] },
  ): Grant[] {
    const { now } = opts;
    const callsByCaller = new Map(demands.map((it) => [it.caller, it.calls]));
    const state: HostState = {
      reportedAt: now,
      demands: callsByCaller,
      grants: new Map(),
    };
    this.#hosts.set(host, state);
    for (const [name, { reportedAt }] of this.#hosts) {
      if (now - reportedAt >= GRANT_TTL_MS) this.#hosts.delete(name);
    }
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
    const evenShare = 1 / hosts.length;
    const reserved = reservedFraction(hosts.length, limit);
    // Grants made by the previous granting host may still be valid.
    if (now - this.#startedAt < RECLAIM_DELAY_MS) return reserved;
    let grantable = 1 - reserved;
    let totalDemand = 0;
    // Granted to other hosts in addition to their reserved fractions.
    let taken = 0;
    for (const other of hosts) {
      const state = this.#hosts.get(other);
      const isFresh = state && now - state.reportedAt < GRANT_TTL_MS;
      if (isFresh) totalDemand += state.demands.get(caller) ?? 0;
      if (other === host) continue;
      grantable -= isFresh ? reserved : evenShare;
      if (isFresh) taken += (state.grants.get(caller) ?? reserved) - reserved;
    }
    if (calls === 0) return reserved;
    const available = Math.max(0, grantable - taken);
    const proportional = Math.max(0, grantable) * calls / totalDemand;
    // A share of less than one call cannot be used.
    const oneCall = 1 / limit;
    const target = Math.max(proportional, oneCall, used - reserved);
    const granted = reserved + Math.min(target, available);
    return granted < oneCall ? reserved : granted;
  }
}

/** Fractions of callers' limits that a host may use according to its grants. */
export class ShareHolder {
  #grants = new Map<string, number>();
  #requestedAt: number | undefined;
  /**
   * Number of the last request. Times do not identify requests, since two
   * requests may be made within one millisecond.
   */
  #lastRequestNumber = 0;
  #hasResponse = false;

  /**
   * Records that grants are being requested. Until the response arrives only
   * the reserved fraction may be used, since the rest may be granted to other
   * hosts in the meantime. Returns the number of the request, which must be
   * passed along with its response.
   */
  startRequest(now: number): number {
    this.#requestedAt = now;
    this.#lastRequestNumber += 1;
    this.#hasResponse = false;
    return this.#lastRequestNumber;
  }

  /** Stores the grants of a response; ignores a response to an earlier request. */
  acceptGrants(grants: Grant[], requestNumber: number): void {
    if (requestNumber !== this.#lastRequestNumber) return;
    this.#hasResponse = true;
    this.#grants = new Map(grants.map((it) => [it.caller, it.fraction]));
  }

  /** Returns the fraction of a caller's limit that may be used now. */
  fraction(
    caller: string,
    opts: { now: number; hosts: number; limit: number },
  ): number {
    const reserved = reservedFraction(opts.hosts, opts.limit);
    const evenShare = 1 / opts.hosts;
    if (this.#requestedAt === undefined) return evenShare;
    const age = opts.now - this.#requestedAt;
    if (this.#hasResponse && age < GRANT_TTL_MS) {
      return this.#grants.get(caller) ?? reserved;
    }
    return age < GRANT_TTL_MS + RECLAIM_DELAY_MS ? reserved : evenShare;
  }
}

/**
 * Returns the fraction of a limit that is always reserved for a host; 0 if the
 * limit is so small that the fraction is less than one call.
 */
function reservedFraction(hosts: number, limit: number): number {
  const reserved = RESERVED_FRACTION / hosts;
  return reserved * limit < 1 ? 0 : reserved;
}
