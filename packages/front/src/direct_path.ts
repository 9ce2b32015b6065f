import { Listeners, type Logger } from "@toucantrestle/log";
import type { Timer } from "@toucantrestle/timer";
import { chooseToProbe, type ProbeCandidate } from "./probe_candidates.ts";
import type { UpstreamContact } from "./upstream_contact.ts";

/** Options of `DirectPath`. */
export interface DirectPathOptions {
  timer: Timer;
  contact: UpstreamContact;
  /** Upstreams that should accept connections. */
  candidates: () => ProbeCandidate[];
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
 * several, first of those that were last known to run, decide.
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
    const chosen = this.#chooseToProbe();
    return chosen.length > 0 && await this.#reachesAny(chosen);
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
    const startedAt = timer.monotonicNow();
    this.#isProbing = true;
    try {
      const isProbed = await this.#reachesAny(this.#chooseToProbe());
      this.#applyProbe(isProbed, startedAt);
    } catch (err) {
      log.error(`cannot probe the upstreams: ${String(err)}`);
    }
    this.#isProbing = false;
    this.#probedAt = timer.monotonicNow();
  }

  #applyProbe(isProbed: boolean, startedAt: number): void {
    const { timer, contact } = this.#opts;
    const isReached = isProbed || contact.connectedAt > startedAt;
    const isChanged = isReached === this.#isCut;
    if (isChanged) this.#setCut(!isReached, timer.monotonicNow());
  }

  async #reachesAny([first, ...others]: ProbeCandidate[]): Promise<boolean> {
    if (first === undefined) return true;
    if (await this.#reaches(first)) return true;
    const results = await Promise.all(others.map((it) => this.#reaches(it)));
    return results.includes(true);
  }

  async #reaches({ id, address }: ProbeCandidate): Promise<boolean> {
    const { contact, probe } = this.#opts;
    const isReached = await probe(address);
    if (isReached) contact.recordConnected(id);
    else contact.recordFailed(id);
    return isReached;
  }

  #chooseToProbe(): ProbeCandidate[] {
    const { candidates, contact, random } = this.#opts;
    const count = 1 + CONFIRMING_PROBES;
    return chooseToProbe(candidates(), { contact, count, random });
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
