import { rankByRendezvous } from "@toucantrestle/membership";
import type { Timer } from "@toucantrestle/timer";
import { hasSameMembers } from "./same_members.ts";

/** Options of `Collectors`. */
export interface CollectorsOptions {
  self: string;
  timer: Timer;
  siblings: { readonly connectedHosts: string[] };
}

/** Siblings that come or go change the collectors after this time. */
const REFRESH_INTERVAL_MS = 250;

/**
 * Assigns each upstream to one of the connected fronts, its collector. Fronts
 * that are connected to the same siblings assign it to the same one.
 */
export class Collectors {
  readonly #opts: CollectorsOptions;
  readonly #collectors = new Map<string, string>();
  #siblings: string[] = [];
  #refreshedAt = -Infinity;

  constructor(opts: CollectorsOptions) {
    this.#opts = opts;
  }

  /** Names of the connected siblings. */
  get siblings(): string[] {
    this.#refresh();
    return this.#siblings;
  }

  /** Returns the name of the front that is the collector of an upstream. */
  of(upstream: string): string {
    this.#refresh();
    const known = this.#collectors.get(upstream);
    if (known !== undefined) return known;
    const { self } = this.#opts;
    const collector = rankByRendezvous(upstream, [self, ...this.#siblings])[0];
    this.#collectors.set(upstream, collector ?? self);
    return collector ?? self;
  }

  #refresh(): void {
    const now = this.#opts.timer.monotonicNow();
    if (now - this.#refreshedAt < REFRESH_INTERVAL_MS) return;
    this.#refreshedAt = now;
    const siblings = this.#opts.siblings.connectedHosts;
    if (hasSameMembers(siblings, this.#siblings)) return;
    this.#siblings = siblings;
    this.#collectors.clear();
  }
}
