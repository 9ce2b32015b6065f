import type { Timer } from "@toucantrestle/timer";

/** Options of `FleetShare`. */
export interface FleetShareOptions {
  self: string;
  timer: Timer;
  /** Names of the siblings that this front is connected to. */
  connectedSiblings: () => string[];
  /** Names of all registered fronts. */
  registeredFronts: () => string[];
}

/**
 * A registered front that a majority has not heard of for this long counts as
 * ended; the registration of a host that is killed lasts longer.
 */
const ABSENT_AFTER_MS = 15_000;
const REFRESH_INTERVAL_MS = 250;

/**
 * The part of the fleet that this front can speak for. Fronts that cannot reach
 * each other still send no more together than all may.
 */
export class FleetShare {
  readonly #opts: FleetShareOptions;
  readonly #missingSince = new Map<string, number>();
  #connectedCount = 1;
  #frontCount = 1;
  #refreshedAt = -Infinity;

  constructor(opts: FleetShareOptions) {
    this.#opts = opts;
  }

  /** Fraction of all fronts that is connected, this one included. */
  get connected(): number {
    this.#refresh();
    return this.#connectedCount / this.#frontCount;
  }

  /** Fraction of all fronts that one front is. */
  get own(): number {
    this.#refresh();
    return 1 / this.#frontCount;
  }

  #refresh(): void {
    const now = this.#opts.timer.monotonicNow();
    if (now - this.#refreshedAt < REFRESH_INTERVAL_MS) return;
    this.#refreshedAt = now;
    const connected = new Set(this.#opts.connectedSiblings());
    connected.add(this.#opts.self);
    const missing = this.#opts.registeredFronts()
      .filter((it) => !connected.has(it));
    this.#trackMissing(missing);
    const isMajority = connected.size > missing.length;
    const counted = isMajority
      ? missing.filter((it) => !this.#isAbsent(it))
      : missing;
    this.#connectedCount = connected.size;
    this.#frontCount = connected.size + counted.length;
  }

  #trackMissing(missing: string[]): void {
    const now = this.#opts.timer.monotonicNow();
    const names = new Set(missing);
    for (const known of this.#missingSince.keys()) {
      if (!names.has(known)) this.#missingSince.delete(known);
    }
    for (const host of missing) {
      if (!this.#missingSince.has(host)) this.#missingSince.set(host, now);
    }
  }

  #isAbsent(host: string): boolean {
    const since = this.#missingSince.get(host) ?? Infinity;
    return this.#opts.timer.monotonicNow() - since >= ABSENT_AFTER_MS;
  }
}
