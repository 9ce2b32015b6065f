import {
  capacityOf,
  HANDOVER_MS,
  type Quota,
  type QuotaBounds,
  startTokens,
} from "./bounds.ts";
import { groupOf } from "./groups.ts";
import type { QuotaQuery, QuotaReply } from "./messages.ts";
import {
  type AllocationTime,
  OrganisationBucket,
} from "./organisation_bucket.ts";

/** Options of `QuotaAllocator`. */
export interface QuotaAllocatorOptions {
  /** Identifies this process, over restarts. */
  self: string;
  bounds: QuotaBounds;
  /** Whether the entire deployment starts for the first time. */
  isFirstStart: boolean;
}

/** A group of organisations whose allocator this front is. */
interface OwnedGroup {
  since: number;
  /** Whether buckets begin full, since nothing can have run before. */
  startsFull: boolean;
  buckets: Map<string, OrganisationBucket>;
}

/** Grants tokens of the organisations whose allocator this front is. */
export class QuotaAllocator {
  readonly #opts: QuotaAllocatorOptions;
  readonly #groups = new Map<number, OwnedGroup>();
  #quotas: ReadonlyMap<string, Quota> = new Map();
  #startsFull: boolean;

  constructor(opts: QuotaAllocatorOptions) {
    this.#opts = opts;
    this.#startsFull = opts.isFirstStart;
  }

  /** Sets the quotas in force, by organisation. */
  setQuotas(quotas: ReadonlyMap<string, Quota>, time: AllocationTime): void {
    this.#quotas = quotas;
    for (const { buckets } of this.#groups.values()) {
      for (const [name, bucket] of buckets) {
        const quota = quotas.get(name);
        if (quota) bucket.setQuota(quota, time);
        else buckets.delete(name);
      }
    }
  }

  /** Whether this front is the allocator of a group. */
  owns(group: number): boolean {
    return this.#groups.has(group);
  }

  /** Makes this front the allocator of a group, if it is not yet. */
  own(group: number, now: number): void {
    if (this.owns(group)) return;
    const startsFull = this.#startsFull;
    this.#groups.set(group, { since: now, startsFull, buckets: new Map() });
  }

  /** Another front is the allocator of a group. */
  disown(group: number): void {
    if (this.#groups.delete(group)) this.#startsFull = false;
  }

  /** Answers the query of a front. */
  answer(query: QuotaQuery, time: AllocationTime): QuotaReply {
    const owned = this.#groups.get(query.group);
    if (!owned) return { isAllocator: false };
    const { holder, seq, answeredBy } = query;
    const { self } = this.#opts;
    const isSuccessor = answeredBy !== undefined && answeredBy !== self;
    if (isSuccessor && owned.startsFull) this.#endFullStart(owned, time);
    const grants = query.demands.flatMap((demand) => {
      const bucket = this.#bucketOf(demand.name, { owned, time });
      return bucket ? [bucket.answer(demand, { holder, seq, time })] : [];
    });
    return { isAllocator: true, allocator: self, grants };
  }

  #bucketOf(
    name: string,
    { owned, time }: { owned: OwnedGroup; time: AllocationTime },
  ): OrganisationBucket | undefined {
    const known = owned.buckets.get(name);
    if (known) return known;
    const quota = this.#quotas.get(name);
    if (!quota || this.#groups.get(groupOf(name)) !== owned) return undefined;
    const { bounds } = this.#opts;
    const full = owned.startsFull ? capacityOf(quota, bounds) : 0;
    const tokens = Math.max(startTokens(bounds), full) * time.fraction;
    const startsAt = owned.since + HANDOVER_MS;
    const created = new OrganisationBucket({ quota, bounds, tokens, startsAt });
    owned.buckets.set(name, created);
    return created;
  }

  /** Another allocator has granted tokens before, so nothing begins full. */
  #endFullStart(owned: OwnedGroup, { fraction }: AllocationTime): void {
    this.#startsFull = false;
    owned.startsFull = false;
    const tokens = startTokens(this.#opts.bounds) * fraction;
    for (const bucket of owned.buckets.values()) bucket.limitUnused(tokens);
  }
}
