import { DIRECT_MS, type Quota, type QuotaBounds } from "./bounds.ts";
import { groupOf } from "./groups.ts";
import {
  type Clocks,
  HeldLease,
  type HeldToken,
  isPast,
  later,
} from "./held_lease.ts";
import type {
  QuotaGrant,
  QuotaQuery,
  QuotaReply,
  RequestKind,
} from "./messages.ts";

/** Organisation whose requests are limited. */
export interface LimitedOrganisation {
  name: string;
  quota: Quota;
}

/** A request that was admitted and whose token is not yet used. */
export interface Admission {
  organisation: LimitedOrganisation;
  token: HeldToken;
}

/** Whether a request may run. */
export type Decision =
  | { kind: "admitted"; admission: Admission }
  /** `waitMs` is the time until a request may be admitted. */
  | { kind: "denied"; waitMs: number }
  /** The allocator must be asked. */
  | { kind: "ask" };

/** Options of `LeaseHolder`. */
export interface LeaseHolderOptions {
  bounds: QuotaBounds;
  /** Identifies this process, over restarts. */
  self: string;
  /** Returns a number from 0 to 1. */
  random: () => number;
}

/** State of a group of organisations at a front. */
interface HeldGroup {
  seq: number;
  sentAt: Clocks;
  answeredBy: string | undefined;
  leases: Map<string, HeldLease>;
}

/** Least time for which requests are denied without asking again, in ms. */
const MIN_DENIAL_MS = 300;
const MAX_DENIAL_MS = 1_000;
/** Least time after which a refused caller should come back, in ms. */
const MIN_WAIT_MS = 50;
/** Denials are spread over this fraction of their time. */
const JITTER = 0.5;

/** Tokens that a front holds of the organisations whose requests it serves. */
export class LeaseHolder {
  readonly #opts: LeaseHolderOptions;
  readonly #groups = new Map<number, HeldGroup>();

  constructor(opts: LeaseHolderOptions) {
    this.#opts = opts;
  }

  /**
   * Decides on a request with the tokens held. `hasWaited` is true if it has
   * waited for an answer and its demand is recorded already.
   */
  decide(
    organisation: LimitedOrganisation,
    { kind, clocks, hasWaited = false }: {
      kind: RequestKind;
      clocks: Clocks;
      hasWaited?: boolean;
    },
  ): Decision {
    const lease = this.#leaseOf(organisation);
    const { monotonic } = clocks;
    lease.refresh(clocks);
    const token = lease.admit(kind);
    // Requests of new programs that are denied are no reason to hold tokens.
    const isDemand = token !== undefined || kind === "continued";
    if (isDemand && !hasWaited) lease.recordDemand(monotonic);
    if (token) return { kind: "admitted", admission: { organisation, token } };
    const waitMs = lease.deniedMs(kind, monotonic);
    return waitMs > 0 ? this.#denied(waitMs) : { kind: "ask" };
  }

  /** Admits a request with a token of the front's reserve. */
  admitOnReserve(
    organisation: LimitedOrganisation,
    clocks: Clocks,
  ): Admission {
    this.#leaseOf(organisation).recordReserveUse();
    return { organisation, token: { until: later(clocks, DIRECT_MS) } };
  }

  /**
   * Uses the token of an admission, immediately before the request is sent.
   * Returns false if the token has expired.
   */
  use({ organisation, token }: Admission, clocks: Clocks): boolean {
    if ("until" in token) return !isPast(token.until, clocks);
    const lease = this.#leaseOf(organisation);
    lease.refresh(clocks);
    return lease.use(token.epoch);
  }

  /** Gives back the token of a request that is not sent. */
  release({ organisation, token }: Admission): void {
    if ("epoch" in token) this.#leaseOf(organisation).release(token.epoch);
  }

  /** Counts requests that wait for the next answer of the allocator. */
  addWaiting(
    organisation: LimitedOrganisation,
    { kind, count }: { kind: RequestKind; count: number },
  ): void {
    this.#leaseOf(organisation).addWaiting(kind, count);
  }

  /** Whether the lease should be renewed before its time. */
  isRunningOut({ name }: LimitedOrganisation, now: number): boolean {
    const lease = this.#groups.get(groupOf(name))?.leases.get(name);
    return lease?.isRunningOut(now) ?? false;
  }

  /** Creates a query to the allocator; undefined if there is nothing to tell. */
  createQuery(group: number, clocks: Clocks): QuotaQuery | undefined {
    const state = this.#groups.get(group);
    if (!state) return undefined;
    const demands = [...state.leases].flatMap(([name, lease]) => {
      lease.refresh(clocks);
      if (lease.isForgettable(clocks.monotonic)) state.leases.delete(name);
      return lease.createDemand(clocks.monotonic) ?? [];
    });
    if (demands.length === 0) return undefined;
    state.seq += 1;
    state.sentAt = clocks;
    const { seq, answeredBy } = state;
    return { group, holder: this.#opts.self, seq, answeredBy, demands };
  }

  /** Accepts the answer to a query unless a later query was sent. */
  accept(query: QuotaQuery, reply: QuotaReply, clocks: Clocks): void {
    const state = this.#groups.get(query.group);
    if (!state || !reply.isAllocator || query.seq !== state.seq) return;
    state.answeredBy = reply.allocator;
    const grants = new Map(reply.grants.map((it) => [it.name, it]));
    for (const { name, waiting, waitingNew } of query.demands) {
      const lease = state.leases.get(name);
      const grant = grants.get(name);
      if (!lease || !grant) continue;
      lease.refresh(clocks);
      lease.accept(grant, state.sentAt);
      if (grant.isStarting) continue;
      const { direct } = grant;
      if (direct.continued < waiting) {
        this.#deny(lease, "continued", { grant, clocks });
      }
      if (direct.new < waitingNew) this.#deny(lease, "new", { grant, clocks });
    }
  }

  /** Applies the quotas in force, by organisation. */
  setQuotas(quotas: ReadonlyMap<string, Quota>): void {
    for (const { leases } of this.#groups.values()) {
      for (const [name, lease] of leases) {
        const quota = quotas.get(name);
        if (quota) lease.setQuota(quota, this.#opts.bounds);
        else leases.delete(name);
      }
    }
  }

  /** Number of tokens held, and of organisations that they are of. */
  get totals(): { tokens: number; organisations: number } {
    let tokens = 0;
    let organisations = 0;
    for (const { leases } of this.#groups.values()) {
      for (const { held } of leases.values()) {
        tokens += held;
        if (held > 0) organisations += 1;
      }
    }
    return { tokens, organisations };
  }

  #deny(
    lease: HeldLease,
    kind: RequestKind,
    { grant, clocks }: { grant: QuotaGrant; clocks: Clocks },
  ): void {
    const waitMs = Math.min(MAX_DENIAL_MS, grant.waitMs[kind]);
    lease.deny(kind, clocks.monotonic + Math.max(MIN_DENIAL_MS, waitMs));
  }

  #denied(waitMs: number): Decision {
    const factor = 1 + JITTER * this.#opts.random();
    return { kind: "denied", waitMs: Math.max(MIN_WAIT_MS, waitMs) * factor };
  }

  #leaseOf({ name, quota }: LimitedOrganisation): HeldLease {
    const group = groupOf(name);
    let state = this.#groups.get(group);
    if (!state) {
      const sentAt = { monotonic: -Infinity, wall: -Infinity };
      state = { seq: 0, sentAt, answeredBy: undefined, leases: new Map() };
      this.#groups.set(group, state);
    }
    let lease = state.leases.get(name);
    if (!lease) {
      lease = new HeldLease(name, quota);
      state.leases.set(name, lease);
    }
    return lease;
  }
}
