import { rankByRendezvous } from "@toucantrestle/membership";
import type { Logger } from "@toucantrestle/log";
import type { Timer } from "@toucantrestle/timer";

/**
 * How a front reads the platform's store: like `all` others in a small fleet,
 * as a `reader` for the others in a larger one, or `seldom`.
 */
export type StoreReading = "all" | "reader" | "seldom";

/** Options of `StoreReaders`. */
export interface StoreReadersOptions {
  self: string;
  timer: Timer;
  /** Returns the data centre of a front; undefined if it is unknown. */
  dataCentreOf: (host: string) => string | undefined;
  /** Names of the connected siblings that reach the store. */
  candidates: () => string[];
  log: Logger;
}

/** In a fleet of up to this many fronts all are readers. */
const MAX_COMPLETE_FLEET = 13;
/** Readers of a larger fleet, enough that some are left when hosts fail. */
const READER_COUNT = 4;
const REFRESH_INTERVAL_MS = 150;
/** Longest delay between two tries to reach the store again. */
const READER_MAX_RETRY_MS = 800;
const OTHER_MAX_RETRY_MS = 5_000;

/**
 * Chooses the fronts that read the platform's store often; they broadcast what
 * changes. The others read it seldom. A front that is connected to no reader
 * becomes one.
 */
export class StoreReaders {
  readonly #opts: StoreReadersOptions;
  #reading: StoreReading = "all";
  /** Fronts from which the readers were chosen last, by their data centre. */
  #ranked: ReadonlyMap<string, string | undefined> = new Map();
  #refreshedAt = -Infinity;

  constructor(opts: StoreReadersOptions) {
    this.#opts = opts;
  }

  /** Longest delay between two tries to reach the store again, in ms. */
  get maxRetryMs(): number {
    return this.isReader ? READER_MAX_RETRY_MS : OTHER_MAX_RETRY_MS;
  }

  /** Whether this front reads often. */
  get isReader(): boolean {
    return this.reading !== "seldom";
  }

  /** How this front reads the store. */
  get reading(): StoreReading {
    const now = this.#opts.timer.monotonicNow();
    if (now - this.#refreshedAt >= REFRESH_INTERVAL_MS) {
      this.#refreshedAt = now;
      this.#change(this.#choose());
    }
    return this.#reading;
  }

  #change(reading: StoreReading): void {
    if (reading === this.#reading) return;
    this.#reading = reading;
    this.#opts.log.info(`reading the store as ${reading}`, {
      event: "store_reading",
      reading,
    });
  }

  #choose(): StoreReading {
    const { self, candidates } = this.#opts;
    const fronts = [self, ...candidates()];
    if (fronts.length <= MAX_COMPLETE_FLEET) {
      this.#ranked = new Map();
      return "all";
    }
    if (this.#isRanked(fronts)) return this.#reading;
    const { dataCentreOf } = this.#opts;
    this.#ranked = new Map(fronts.map((it) => [it, dataCentreOf(it)]));
    return this.#chooseReaders(fronts).includes(self) ? "reader" : "seldom";
  }

  /** Whether the readers were chosen from these fronts, where they are now. */
  #isRanked(fronts: string[]): boolean {
    const { dataCentreOf } = this.#opts;
    return fronts.length === this.#ranked.size &&
      fronts.every((it) =>
        this.#ranked.has(it) && this.#ranked.get(it) === dataCentreOf(it)
      );
  }

  /** The first of each data centre come first: one may fail as a whole. */
  #chooseReaders(fronts: string[]): string[] {
    const ranked = rankByRendezvous("store-reader", fronts);
    const seen = new Set<string | undefined>();
    const first: string[] = [];
    const others: string[] = [];
    for (const host of ranked) {
      const dataCentre = this.#ranked.get(host);
      (seen.has(dataCentre) ? others : first).push(host);
      seen.add(dataCentre);
    }
    return [...first, ...others].slice(0, READER_COUNT);
  }
}
