import type { Logger } from "@toucantrestle/log";
import {
  type CrashReport,
  type CrashTracker,
  processKey,
  QUARANTINE_CRASHES,
  type SuccessReport,
  type UpstreamEntry,
  type UpstreamProcess,
} from "@toucantrestle/routing";
import { sleep, type Timer } from "@toucantrestle/timer";

/** Options of `CrashSuspicions`. */
export interface CrashSuspicionsOptions {
  crashTracker: CrashTracker;
  /** Whether a process of an upstream is the one that its entry names. */
  isCurrent: (process: UpstreamProcess) => boolean;
  /** Whether this front reaches no upstream itself. */
  isCut: () => boolean;
  /** Returns whether a process accepts connections at an address. */
  probe: (address: string) => Promise<boolean>;
  /** Lets a sibling probe an upstream; undefined if none can tell. */
  probeThroughSibling: (
    process: UpstreamProcess,
  ) => Promise<boolean | undefined>;
  /** Called with a crash that no sibling knows of. */
  onCrash: (report: CrashReport) => void;
  /** Called with a success that siblings may not know of. */
  onSuccess: (report: SuccessReport) => void;
  timer: Timer;
  log: Logger;
}

/** A request that lost its upstream. */
interface Suspicion {
  fingerprint: string;
  upstream: string;
  at: number;
  /** Whether the upstream has not been probed yet. */
  isOpen: boolean;
}

/** An upstream that crashes accepts no connections after this time. */
const PROBE_DELAY_MS = 300;
/**
 * The entry of an upstream that has ended is gone or replaced after this time,
 * also if something else accepts connections at its address.
 */
const ENTRY_CHECK_MS = 6_000;

/**
 * Decides which lost connections were crashes of their upstreams. An upstream
 * whose process goes on has lost an answer, which says nothing about the
 * request. Until that is known the loss counts as a crash on this front only.
 */
export class CrashSuspicions {
  readonly #opts: CrashSuspicionsOptions;
  readonly #suspicions = new Map<string, Set<Suspicion>>();
  /** Probes under way, by process: one for all requests that it ran. */
  readonly #probes = new Map<string, Promise<boolean>>();

  constructor(opts: CrashSuspicionsOptions) {
    this.#opts = opts;
  }

  /** Whether no request is suspected of crashes. */
  get isEmpty(): boolean {
    return this.#suspicions.size === 0 && this.#opts.crashTracker.isEmpty;
  }

  /**
   * Returns why a request must not be run: it has crashed too many upstreams, or
   * may have; undefined if it may be run.
   */
  refusalOf(fingerprint: string): "convicted" | "suspected" | undefined {
    const { crashTracker } = this.#opts;
    const crashed = crashTracker.crashedUpstreams(fingerprint, this.#now);
    if (crashed.length >= QUARANTINE_CRASHES) return "convicted";
    const open = [...this.#suspicions.get(fingerprint) ?? []]
      .filter((it) => it.isOpen)
      .map((it) => it.upstream);
    const all = new Set([...crashed, ...open]);
    return all.size >= QUARANTINE_CRASHES ? "suspected" : undefined;
  }

  /** A request has lost the connection to an upstream that may have run it. */
  async suspect(fingerprint: string, entry: UpstreamEntry): Promise<void> {
    const suspicion: Suspicion = {
      fingerprint,
      upstream: processKey(entry),
      at: this.#now,
      isOpen: true,
    };
    this.#add(suspicion);
    if (await this.#hasEnded(entry)) return this.#confirm(suspicion);
    suspicion.isOpen = false;
    this.#opts.timer.after(ENTRY_CHECK_MS, () => {
      if (!this.#opts.isCurrent(entry)) this.#confirm(suspicion);
      else this.#remove(suspicion);
    });
  }

  /** An upstream has run a request, so that the request crashes none. */
  recordSuccess(request: { readonly fingerprint: string }): void {
    if (this.isEmpty) return;
    const { fingerprint } = request;
    const { crashTracker, onSuccess } = this.#opts;
    this.#suspicions.delete(fingerprint);
    if (!crashTracker.isTracked(fingerprint)) return;
    const report = { fingerprint, ageMs: 0 };
    if (crashTracker.recordSuccess(report, this.#now)) onSuccess(report);
  }

  get #now(): number {
    return this.#opts.timer.monotonicNow();
  }

  #add(suspicion: Suspicion): void {
    const { fingerprint } = suspicion;
    const known = this.#suspicions.get(fingerprint) ?? new Set();
    known.add(suspicion);
    this.#suspicions.set(fingerprint, known);
  }

  /** Returns false if a success has removed the suspicion before. */
  #remove(suspicion: Suspicion): boolean {
    const { fingerprint } = suspicion;
    const known = this.#suspicions.get(fingerprint);
    if (!known?.delete(suspicion)) return false;
    if (known.size === 0) this.#suspicions.delete(fingerprint);
    return true;
  }

  #confirm(suspicion: Suspicion): void {
    if (!this.#remove(suspicion)) return;
    const { crashTracker, onCrash, log } = this.#opts;
    const { fingerprint, upstream, at } = suspicion;
    const now = this.#now;
    const report = { fingerprint, upstream, ageMs: now - at };
    if (!crashTracker.recordCrash(report, now)) return;
    log.info(`upstream ${upstream} has ended while it ran a request`, {
      event: "upstream_crashed",
      upstream,
      fingerprint,
    });
    onCrash(report);
  }

  /** Returns whether the process of an upstream has ended, as far as known. */
  #hasEnded(entry: UpstreamEntry): Promise<boolean> {
    const key = processKey(entry);
    const known = this.#probes.get(key);
    if (known) return known;
    const probe = this.#probe(entry)
      .catch((err) => {
        this.#opts.log.error(`cannot probe upstream ${key}: ${String(err)}`);
        return false;
      })
      .finally(() => this.#probes.delete(key));
    this.#probes.set(key, probe);
    return probe;
  }

  async #probe(entry: UpstreamEntry): Promise<boolean> {
    const { timer, isCurrent, isCut, probe, probeThroughSibling } = this.#opts;
    await sleep(timer, PROBE_DELAY_MS);
    if (!isCurrent(entry)) return true;
    if (!isCut() && await probe(entry.address)) return false;
    // The way from here may be cut, and the upstream well.
    return !await probeThroughSibling(entry);
  }
}
