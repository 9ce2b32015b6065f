import { Listeners, type Logger } from "@toucantrestle/log";
import type { Timer } from "@toucantrestle/timer";
import type { UpstreamContact } from "./upstream_contact.ts";

/** Options of `DirectPath`. */
export interface DirectPathOptions {
  timer: Timer;
  contact: UpstreamContact;
  /** Addresses of the upstreams that should accept connections. */
  addresses: () => string[];
  /** Returns whether a process accepts connections at an address. */
  probe: (address: string) => Promise<boolean>;
  /** Returns a random number in [0, 1). */
  random: () => number;
  log: Logger;
}

/** How the way to the upstreams is cut. */
export interface PathCut {
  /** Whether open connections carry nothing either. */
  isSilent: boolean;
}

const CHECK_INTERVAL_MS = 200;
/** Silence of all upstreams with requests in flight that calls for probes. */
const SILENCE_MS = 400;
/** Failed connections in a row, to different upstreams, that call for probes. */
const SUSPICIOUS_FAILURES = 2;
/** Contact that is not older proves that an upstream can be reached. */
const RECENT_CONTACT_MS = 200;
/** Upstreams that are probed at once after a first probe has failed. */
const CONFIRMING_PROBES = 2;
/** Time between two series of probes. */
const PROBE_INTERVAL_MS = 500;

/**
 * Detects that this front reaches no upstream over connections of its own. One
 * upstream that is silent or refuses connections is no sign of it; probes of
 * several decide.
 */
export class DirectPath {
  readonly #opts: DirectPathOptions;
  readonly #cutListeners: Listeners<[PathCut]>;
  /** Start times of the requests in flight. */
  readonly #inFlight = new Map<symbol, number>();
  #isCut = false;
  /** When the cut was found, in ms. */
  #cutAt = 0;
  #isProbing = false;
  #probedAt = -Infinity;

  constructor(opts: DirectPathOptions) {
    this.#opts = opts;
    this.#cutListeners = new Listeners("cuts", opts.log);
  }

  /** Whether no upstream can be reached; open connections may still work. */
  get isCut(): boolean {
    return this.#isCut;
  }

  /** Whether the way is cut and open connections carry nothing either. */
  get isSilent(): boolean {
    const { receivedAt } = this.#opts.contact;
    return this.#isCut && receivedAt <= this.#cutAt - SILENCE_MS;
  }

  /** Returns whether an upstream can be reached now. */
  async reachesNow(): Promise<boolean> {
    const { timer, contact } = this.#opts;
    const contactMs = timer.monotonicNow() - contact.receivedAt;
    if (contactMs < RECENT_CONTACT_MS) return true;
    const addresses = this.#drawAddresses();
    return addresses.length > 0 && await this.#reachesAny(addresses);
  }

  /** Starts checking. */
  start(): void {
    this.#opts.timer.every(CHECK_INTERVAL_MS, () => this.#check());
  }

  /** Subscribes `fn` to the detection of a cut; returns how to unsubscribe. */
  onCut(fn: (cut: PathCut) => void): () => void {
    return this.#cutListeners.add(fn);
  }

  /** Tracks a request that is sent directly; the result ends it. */
  track(): () => void {
    const key = Symbol();
    this.#inFlight.set(key, this.#opts.timer.monotonicNow());
    return () => this.#inFlight.delete(key);
  }

  #check(): void {
    const now = this.#opts.timer.monotonicNow();
    if (this.#isProbing || now - this.#probedAt < PROBE_INTERVAL_MS) return;
    if (this.#isCut || this.#isSuspicious(now)) this.#probe();
  }

  #isSuspicious(now: number): boolean {
    const { failedCount } = this.#opts.contact;
    return failedCount >= SUSPICIOUS_FAILURES || this.#isSilent(now);
  }

  /** Whether requests are in flight and nothing has arrived for some time. */
  #isSilent(now: number): boolean {
    const [oldestAt] = this.#inFlight.values();
    if (oldestAt === undefined) return false;
    const heardAt = Math.max(this.#opts.contact.receivedAt, oldestAt);
    return now - heardAt >= SILENCE_MS;
  }

  async #probe(): Promise<void> {
    const { timer, log } = this.#opts;
    this.#isProbing = true;
    try {
      this.#applyProbe(await this.#reachesAny(this.#drawAddresses()));
    } catch (err) {
      log.error(`cannot probe the upstreams: ${String(err)}`);
    }
    this.#isProbing = false;
    this.#probedAt = timer.monotonicNow();
  }

  #applyProbe(isReached: boolean): void {
    const { timer, contact } = this.#opts;
    if (isReached) contact.clearFailures();
    const isChanged = isReached === this.#isCut;
    if (isChanged) this.#setCut(!isReached, timer.monotonicNow());
  }

  async #reachesAny([first, ...others]: string[]): Promise<boolean> {
    if (first === undefined) return true;
    if (await this.#opts.probe(first)) return true;
    const results = await Promise.all(others.map((it) => this.#opts.probe(it)));
    return results.includes(true);
  }

  /** Draws the addresses to probe, all different. */
  #drawAddresses(): string[] {
    const addresses = [...new Set(this.#opts.addresses())];
    const drawn: string[] = [];
    while (addresses.length > 0 && drawn.length <= CONFIRMING_PROBES) {
      const index = Math.floor(this.#opts.random() * addresses.length);
      drawn.push(...addresses.splice(index, 1));
    }
    return drawn;
  }

  #setCut(isCut: boolean, now: number): void {
    this.#isCut = isCut;
    this.#cutAt = now;
    const heardMs = Math.round(now - this.#opts.contact.receivedAt);
    this.#opts.log.warn(
      isCut
        ? "no upstream can be reached from here"
        : "upstreams can be reached again",
      { event: isCut ? "path_cut" : "path_restored", heardMs },
    );
    if (!isCut) return;
    const cut = { isSilent: heardMs >= SILENCE_MS };
    this.#cutListeners.notify(cut);
  }
}
