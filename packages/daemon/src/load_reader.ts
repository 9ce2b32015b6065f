import { rankByRendezvous } from "@toucantrestle/membership";
import type { LoadDigest, SiblingNet } from "@toucantrestle/sibling";
import type { Timer } from "@toucantrestle/timer";
import type { EngineSoftware } from "./output_origin.ts";
import type { PlacementQueue } from "./placement_queue.ts";
import type { Upstreams } from "./upstreams.ts";

const LOAD_POLL_INTERVAL_MS = 250;
/** Cache events are read with every n-th poll of the load reports. */
const POLLS_PER_EVENT_READ = 2;
/** An engine whose load report cannot be read gets no new calls for this time. */
const ENGINE_DOWN_MS = 1_000;
/**
 * If the last digest of an engine is older than this, the daemon reads the engine
 * itself instead of waiting for its reader.
 */
const STALE_DIGEST_MS = 1_500;

/**
 * Polls the engines' load reports and cache events. Each engine is polled by one
 * daemon, which broadcasts a digest to its siblings. A daemon whose digest of an
 * engine is stale polls the engine itself.
 */
export class LoadReader {
  readonly #upstreams: Upstreams;
  readonly #placementQueue: PlacementQueue;
  readonly #timer: Timer;
  readonly #net: () => SiblingNet;
  readonly #selfHost: string;
  readonly #liveHosts: () => string[];
  readonly #software = new Map<string, EngineSoftware>();
  readonly #lastDigestAt = new Map<string, number>();
  /** Names of the engines that are being read. */
  readonly #reading = new Set<string>();
  #pollCount = 0;

  constructor(
    opts: {
      upstreams: Upstreams;
      placementQueue: PlacementQueue;
      timer: Timer;
      net: () => SiblingNet;
      selfHost: string;
      liveHosts: () => string[];
    },
  ) {
    this.#upstreams = opts.upstreams;
    this.#placementQueue = opts.placementQueue;
    this.#timer = opts.timer;
    this.#net = opts.net;
    this.#selfHost = opts.selfHost;
    this.#liveHosts = opts.liveHosts;
    this.#timer.every(LOAD_POLL_INTERVAL_MS, () => this.#poll());
  }

  /** Returns what an engine's last load report says of its software. */
  softwareOf(engine: string): EngineSoftware {
    return this.#software.get(engine) ??
      { name: engine, canResume: false, softwareVersion: undefined };
  }

  /** Applies digests that were broadcast by a sibling. */
  applyDigests(digests: LoadDigest[]): void {
    for (const digest of digests) this.#applyDigest(digest);
  }

  #poll(): void {
    this.#pollCount += 1;
    const hosts = this.#liveHosts();
    for (const { name } of this.#upstreams.engines()) {
      if (this.#reading.has(name) || !this.#isReader(name, hosts)) continue;
      this.#reading.add(name);
      this.#readAndBroadcast(name).finally(() => this.#reading.delete(name));
    }
  }

  #isReader(engine: string, hosts: string[]): boolean {
    const lastDigestAt = this.#lastDigestAt.get(engine) ?? 0;
    if (this.#timer.now() - lastDigestAt > STALE_DIGEST_MS) return true;
    const [reader] = rankByRendezvous(`reader/${engine}`, hosts);
    return reader === undefined || reader === this.#selfHost;
  }

  async #readAndBroadcast(name: string): Promise<void> {
    const digest = await this.#readDigest(name).catch(() => undefined);
    if (!digest) {
      const until = this.#timer.now() + ENGINE_DOWN_MS;
      this.#placementQueue.dispatcher.markDown(name, until);
      return;
    }
    this.#applyDigest(digest);
    for (const session of this.#net().sessions()) {
      session.send({ t: "load", digests: [digest] });
    }
  }

  async #readDigest(name: string): Promise<LoadDigest | undefined> {
    const engine = this.#upstreams.engine(name);
    if (!engine) return undefined;
    const report = await engine.fetchLoad();
    const readsEvents = this.#pollCount % POLLS_PER_EVENT_READ === 0;
    const after = this.#placementQueue.dispatcher.caches.lastSeq(name);
    const events = readsEvents ? await engine.cacheEvents(after) : [];
    return {
      engine: name,
      canResume: report.can_resume,
      softwareVersion: report.software_version,
      report: {
        at: report.at,
        running: report.running,
        waiting: report.waiting,
        prefillTokens: report.prefill_tokens,
        cacheUsedTokens: report.cache_used_tokens,
        cacheLimitTokens: report.cache_limit_tokens,
      },
      events: events.map((event) => ({
        seq: event.seq,
        kind: event.kind,
        program: event.key,
        tokens: event.tokens,
      })),
    };
  }

  #applyDigest(digest: LoadDigest): void {
    const { engine, canResume, softwareVersion, report, events } = digest;
    // Siblings may know upstreams that this table lacks.
    if (!this.#upstreams.engine(engine)) return;
    const now = this.#timer.now();
    const { dispatcher } = this.#placementQueue;
    this.#lastDigestAt.set(engine, now);
    this.#software.set(engine, { name: engine, canResume, softwareVersion });
    dispatcher.updateLoad(engine, report);
    dispatcher.caches.applyEvents(engine, events, now);
  }
}
