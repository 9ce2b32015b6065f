import type { Timer } from "@toucantrestle/timer";
import type { DispatchDesk } from "./dispatch_desk.ts";
import type { Upstreams } from "./upstreams.ts";

const LOAD_POLL_MS = 250;
const EVENTS_POLL_MS = 500;
/** An engine that cannot be read gets no new work for this long. */
const DOWN_MS = 1_000;

/** Reads the engines' load reports and cache events. */
export class LoadReader {
  readonly #upstreams: Upstreams;
  readonly #desk: DispatchDesk;
  readonly #timer: Timer;
  readonly #canResume = new Map<string, boolean>();
  readonly #busy = new Set<string>();

  constructor(
    opts: { upstreams: Upstreams; desk: DispatchDesk; timer: Timer },
  ) {
    this.#upstreams = opts.upstreams;
    this.#desk = opts.desk;
    this.#timer = opts.timer;
    this.#timer.every(LOAD_POLL_MS, () => this.#readAll("load"));
    this.#timer.every(EVENTS_POLL_MS, () => this.#readAll("events"));
  }

  /** Whether an engine can continue a stream that began elsewhere. */
  canResume(engine: string): boolean {
    return this.#canResume.get(engine) ?? false;
  }

  #readAll(what: "load" | "events"): void {
    for (const { name } of this.#upstreams.engines()) {
      const key = `${what}/${name}`;
      if (this.#busy.has(key)) continue;
      this.#busy.add(key);
      const task = what === "load"
        ? this.#readLoad(name)
        : this.#readEvents(name);
      task.catch(() => {}).finally(() => this.#busy.delete(key));
    }
  }

  async #readLoad(name: string): Promise<void> {
    const { dispatcher } = this.#desk;
    try {
      const report = await this.#upstreams.engine(name)?.load();
      if (!report) return;
      this.#canResume.set(name, report.can_resume);
      dispatcher.report(name, {
        at: report.at,
        running: report.running,
        waiting: report.waiting,
        prefillTokens: report.prefill_tokens,
        cacheUsedTokens: report.cache_used_tokens,
        cacheLimitTokens: report.cache_limit_tokens,
      });
    } catch {
      dispatcher.markDown(name, this.#timer.now() + DOWN_MS);
    }
  }

  async #readEvents(name: string): Promise<void> {
    const { caches } = this.#desk.dispatcher;
    const after = caches.lastSeq(name);
    const events = await this.#upstreams.engine(name)?.cacheEvents(after);
    if (!events) return;
    const notices = events.map((event) => ({
      seq: event.seq,
      kind: event.kind,
      program: event.key,
      tokens: event.tokens,
    }));
    caches.noteEvents(name, notices, this.#timer.now());
  }
}
