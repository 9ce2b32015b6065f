import type { Logger } from "@toucantrestle/log";
import type {
  ReportedLoad,
  TrackedUpstream,
  UpstreamRegistry,
} from "@toucantrestle/routing";
import type { Timer } from "@toucantrestle/timer";
import type { WorkKind } from "@toucantrestle/policy";
import type { Collectors } from "./collectors.ts";
import type { FrontMethods, LoadReport } from "./protocol.ts";

/** Links to the siblings that `LoadSharing` needs. */
export interface LoadLinks {
  sendLoads(host: string, report: LoadReport): void;
  queryLoads(
    host: string,
    upstreams: string[],
    timeoutMs: number,
  ): Promise<Record<string, ReportedLoad>>;
}

/** Options of `LoadSharing`. */
export interface LoadSharingOptions {
  self: string;
  timer: Timer;
  upstreamRegistry: UpstreamRegistry;
  siblings: LoadLinks;
  collectors: Collectors;
  /** False to share nothing. */
  isEnabled: boolean;
  log: Logger;
}

/** Up to this many siblings all receive each report; beyond, one collects. */
const MAX_BROADCAST_SIBLINGS = 12;
/** Changes within this time are reported together. */
const BROADCAST_DELAY_MS = 50;
const COLLECTOR_DELAY_MS = 20;
/** A load without changes is reported again after this time. */
const REFRESH_INTERVAL_MS = 600;
/** A collector that does not answer within this time is not waited for. */
const QUERY_TIMEOUT_MS = 25;

/**
 * Shares with the siblings how many requests this front has in flight at each
 * upstream. Few fronts send each other all changes. Among many fronts, one
 * front per upstream collects the loads, and the others query it before a
 * choice; the messages per request then do not depend on the number of fronts.
 */
export class LoadSharing {
  readonly #opts: LoadSharingOptions;
  /** Upstreams whose load has changed since the last report. */
  readonly #changed = new Set<string>();
  /** Upstreams whose load was reported at least once. */
  readonly #reported = new Set<string>();
  #isScheduled = false;

  constructor(opts: LoadSharingOptions) {
    this.#opts = opts;
    opts.timer.every(REFRESH_INTERVAL_MS, () => this.#refresh());
  }

  /** Schedules a report of this front's load on an upstream. */
  reportChange(id: string, kind: WorkKind): void {
    if (!this.#opts.isEnabled) return;
    const isBroadcasting = this.#isBroadcasting;
    // A short call is not worth the messages of a collector.
    if (!isBroadcasting && kind === "service") return;
    this.#changed.add(id);
    this.#reported.add(id);
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    const delayMs = isBroadcasting ? BROADCAST_DELAY_MS : COLLECTOR_DELAY_MS;
    this.#opts.timer.after(delayMs, () => {
      this.#isScheduled = false;
      this.#sendReports();
    });
  }

  /** Applies a sibling's report. */
  applyReport({ host, loads }: LoadReport): void {
    const { timer, upstreamRegistry } = this.#opts;
    const now = timer.monotonicNow();
    for (const [id, load] of Object.entries(loads)) {
      upstreamRegistry.recordSiblingLoad(host, id, load, now);
    }
  }

  /** Returns the loads of all fronts but the one that asks. */
  answerQuery(
    { host, upstreams }: FrontMethods["loads"]["args"],
  ): Record<string, ReportedLoad> {
    const { timer, upstreamRegistry } = this.#opts;
    const now = timer.monotonicNow();
    const loads: Record<string, ReportedLoad> = {};
    for (const id of upstreams) {
      const load = upstreamRegistry.loadWithout(host, id, now);
      const startedAt = upstreamRegistry.get(id)?.entry.startedAt;
      if (load && startedAt !== undefined) loads[id] = { ...load, startedAt };
    }
    return loads;
  }

  /** Asks the collectors of upstreams for their load, if others collect it. */
  async query(upstreams: TrackedUpstream[]): Promise<void> {
    if (!this.#opts.isEnabled || this.#isBroadcasting) return;
    const idsByCollector = new Map<string, string[]>();
    for (const known of upstreams) {
      const collector = this.#opts.collectors.of(known.entry.id);
      if (collector === this.#opts.self) known.queriedLoad = undefined;
      else append(idsByCollector, collector, known.entry.id);
    }
    await Promise.all(
      [...idsByCollector].map(([host, ids]) => this.#queryCollector(host, ids)),
    );
  }

  async #queryCollector(host: string, ids: string[]): Promise<void> {
    const { siblings, timer, upstreamRegistry, log } = this.#opts;
    try {
      const loads = await siblings.queryLoads(host, ids, QUERY_TIMEOUT_MS);
      const now = timer.monotonicNow();
      for (const [id, load] of Object.entries(loads)) {
        upstreamRegistry.recordQueriedLoad(id, load, now);
      }
    } catch (err) {
      log.debug(`load query to front ${host} failed: ${String(err)}`);
    }
  }

  get #isBroadcasting(): boolean {
    return this.#opts.collectors.siblings.length <= MAX_BROADCAST_SIBLINGS;
  }

  /** Repeats the loads that are not zero, before they expire at siblings. */
  #refresh(): void {
    for (const id of this.#reported) {
      const known = this.#opts.upstreamRegistry.get(id);
      if (!known) this.#reported.delete(id);
      else if (known.localLoad.running > 0) this.#changed.add(id);
    }
    if (this.#changed.size > 0) this.#sendReports();
  }

  #sendReports(): void {
    const ids = [...this.#changed];
    this.#changed.clear();
    if (this.#isBroadcasting) {
      for (const host of this.#opts.collectors.siblings) {
        this.#sendReport(host, ids);
      }
      return;
    }
    const idsByCollector = new Map<string, string[]>();
    for (const id of ids) {
      append(idsByCollector, this.#opts.collectors.of(id), id);
    }
    for (const [host, collected] of idsByCollector) {
      if (host !== this.#opts.self) this.#sendReport(host, collected);
    }
  }

  #sendReport(host: string, ids: string[]): void {
    const { self, siblings, upstreamRegistry } = this.#opts;
    const loads: LoadReport["loads"] = {};
    for (const id of ids) {
      const known = upstreamRegistry.get(id);
      if (!known) continue;
      loads[id] = { ...known.localLoad, startedAt: known.entry.startedAt };
    }
    siblings.sendLoads(host, { host: self, loads });
  }
}

function append(map: Map<string, string[]>, key: string, value: string): void {
  const values = map.get(key);
  if (values) values.push(value);
  else map.set(key, [value]);
}
