import { hash32 } from "@toucantrestle/membership";
import { TokenBucket } from "@toucantrestle/policy";
import { type QuotaBounds, reserveCapacity } from "./bounds.ts";
import type { LimitedOrganisation } from "./lease_holder.ts";

/** Part of its own share of the rate that a front uses without an allocator. */
const RESERVE_RATE = 0.4;
/**
 * The reserve is refilled only after this time, in ms. By then the allocator
 * has ended or counts this front as disconnected.
 */
export const RESERVE_REFILL_DELAY_MS = 2_500;
const HASH_RANGE = 2 ** 32;

/** Options of `Reserve`. */
export interface ReserveOptions {
  bounds: QuotaBounds;
  /** Name of this front. */
  self: string;
}

/**
 * Tokens of a front for requests while no allocator answers. The reserves of
 * all fronts begin with the part of the overage that allocators leave to them.
 */
export class Reserve {
  readonly #opts: ReserveOptions;
  readonly #buckets = new Map<string, TokenBucket>();

  constructor(opts: ReserveOptions) {
    this.#opts = opts;
  }

  /**
   * Takes a token. `own` is this front's fraction of the fleet, `now` is in ms
   * on the monotonic clock.
   */
  take(
    { name, quota }: LimitedOrganisation,
    { own, now }: { own: number; now: number },
  ): boolean {
    const { bounds, self } = this.#opts;
    const size = own * reserveCapacity(quota, bounds);
    // Shares of less than one token: some fronts get one, the others none.
    const isChosen = hash32(`${self}/${name}`) / HASH_RANGE < size;
    if (size < 1 && !isChosen) return false;
    const max = Math.max(1, size);
    const bucket = this.#buckets.get(name) ??
      new TokenBucket({ tokens: max, now: now + RESERVE_REFILL_DELAY_MS });
    this.#buckets.set(name, bucket);
    bucket.refill({ ratePerS: RESERVE_RATE * own * quota.ratePerS, max, now });
    if (bucket.tokens < 1) return false;
    bucket.take(1);
    return true;
  }

  /** The allocator has answered and knows what was used. */
  reset(name: string): void {
    this.#buckets.delete(name);
  }
}
