import { rankByRendezvous } from "@toucantrestle/membership";
import type { LoadDigest, SiblingNet } from "@toucantrestle/sibling";
import type { Timer } from "@toucantrestle/timer";
import type { DispatchDesk } from "./dispatch_desk.ts";
import type { Upstreams } from "./upstreams.ts";

const LOAD_POLL_MS = 250;
/** Cache events are read with every n-th load report. */
const EVENTS_EVERY = 2;
/** An engine that cannot be read gets no new work for this long. */
const DOWN_MS = 1_000;
/** A digest older than this is not waited for. */
const STALE_MS = 1_500;

/**
 * Reads the engines' load reports and cache events. Each engine is read by one
 * daemon, which passes on what it read; a daemon that hears nothing of an
 * engine for a while reads it itself.
 */
export class LoadReader {
  readonly #upstreams: Upstreams;
  readonly #desk: DispatchDesk;
  readonly #timer: Timer;
  readonly #net: () => SiblingNet;
  readonly #selfHost: string;
  readonly #liveHosts: () => string[];
  readonly #canResume = new Map<string, boolean>();
  readonly #heardAt = new Map<string, number>();
  readonly #busy = new Set<string>();
  #turn = 0;

  constructor(
    opts: {
      upstreams: Upstreams;
      desk: DispatchDesk;
      timer: Timer;
      net: () => SiblingNet;
      selfHost: string;
      liveHosts: () => string[];
    },
  ) {
    this.#upstreams = opts.upstreams;
    this.#desk = opts.desk;
    this.#timer = opts.timer;
    this.#net = opts.net;
    this.#selfHost = opts.selfHost;
    this.#liveHosts = opts.liveHosts;
    this.#timer.every(LOAD_POLL_MS, () => this.#readAll());
  }

  /** Whether an engine can continue a stream that began elsewhere. */
  canResume(engine: string): boolean {
    return this.#canResume.get(engine) ?? false;
  }

  /** Takes what a sibling has read. */
  take(digests: LoadDigest[]): void {
    for (const digest of digests) this.#apply(digest);
  }

  #readAll(): void {
    this.#turn += 1;
    const hosts = this.#liveHosts();
    for (const { name } of this.#upstreams.engines()) {
      if (this.#busy.has(name) || !this.#isReader(name, hosts)) continue;
      this.#busy.add(name);
      this.#readOne(name).finally(() => this.#busy.delete(name));
    }
  }

  #isReader(engine: string, hosts: string[]): boolean {
    const heardAt = this.#heardAt.get(engine) ?? 0;
    if (this.#timer.now() - heardAt > STALE_MS) return true;
    const [reader] = rankByRendezvous(`reader/${engine}`, hosts);
    return reader === undefined || reader === this.#selfHost;
  }

  async #readOne(name: string): Promise<void> {
    const digest = await this.#read(name).catch(() => undefined);
    if (!digest) {
      const until = this.#timer.now() + DOWN_MS;
      this.#desk.dispatcher.markDown(name, until);
      return;
    }
    this.#apply(digest);
    for (const session of this.#net().sessions()) {
      session.send({ t: "load", digests: [digest] });
    }
  }

  async #read(name: string): Promise<LoadDigest | undefined> {
    const engine = this.#upstreams.engine(name);
    if (!engine) return undefined;
    const report = await engine.fetchLoad();
    const withEvents = this.#turn % EVENTS_EVERY === 0;
    const after = this.#desk.dispatcher.caches.lastSeq(name);
    const events = withEvents ? await engine.cacheEvents(after) : [];
    return {
      engine: name,
      canResume: report.can_resume,
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

  #apply({ engine, canResume, report, events }: LoadDigest): void {
    const now = this.#timer.now();
    const { dispatcher } = this.#desk;
    this.#heardAt.set(engine, now);
    this.#canResume.set(engine, canResume);
    dispatcher.updateLoad(engine, report);
    dispatcher.caches.applyEvents(engine, events, now);
  }
}
