import { PrefixCache } from "./prefix_cache.ts";

/** Speeds and sizes of an engine. */
export interface EngineParams {
  /** Prompt tokens computed a second, over all sequences. */
  prefillTokensPerS: number;
  /** Time of one decoding step with an empty batch, in ms. */
  decodeBaseMs: number;
  /** Added to a decoding step by each sequence of the batch, in ms. */
  decodePerSequenceMs: number;
  /** Sequences that run at once. */
  maxBatch: number;
  /** Tokens of cache memory, running sequences included. */
  cacheTokens: number;
}

/** A completion to compute. Sizes in tokens, times in ms. */
export interface EngineJob {
  id: string;
  /** Key under which prompt prefixes are shared: the program. */
  cacheKey: string;
  promptTokens: number;
  outputTokens: number;
  /** Lower runs first. */
  priority: number;
}

/** State of a job in the engine. */
export interface RunningJob extends EngineJob {
  /** Prompt tokens taken from the cache. */
  cachedTokens: number;
  /** Prompt tokens still to compute. */
  prefillLeft: number;
  /** Output tokens made so far, with fractions. */
  generated: number;
  submittedAt: number;
  startedAt: number;
}

/** What happened while the model's time moved. */
export interface EngineEvent {
  kind: "started" | "first_token" | "done";
  job: RunningJob;
  at: number;
}

/** Load of an engine at one moment. */
export interface EngineLoad {
  running: number;
  waiting: number;
  /** Prompt tokens queued or in computation. */
  prefillTokens: number;
  cacheUsedTokens: number;
}

const MS_PER_S = 1_000;
const EPSILON = 1e-6;
/** Smallest step of the clock: wall-clock times have no finer fractions. */
const MIN_STEP_MS = 0.01;

/** Defaults that resemble a small model on one accelerator. */
export const DEFAULT_ENGINE_PARAMS: EngineParams = {
  prefillTokensPerS: 8_000,
  decodeBaseMs: 8,
  decodePerSequenceMs: 0.4,
  maxBatch: 16,
  cacheTokens: 120_000,
};

/**
 * Continuous batching on a fluid clock: prompts are computed one at a time,
 * all others of the batch decode at a rate that falls with the batch size.
 */
export class EngineModel {
  readonly params: EngineParams;
  readonly cache: PrefixCache;
  /** Prompt tokens computed since the start. */
  prefilledTokens = 0;
  /** Output tokens made since the start. */
  generatedTokens = 0;
  #now: number;
  #waiting: RunningJob[] = [];
  #prefilling: RunningJob[] = [];
  #decoding: RunningJob[] = [];

  constructor(params: EngineParams, now: number) {
    this.params = params;
    this.cache = new PrefixCache(params.cacheTokens);
    this.#now = now;
  }

  /** Adds a job at the time the model stands at. */
  submit(job: EngineJob): RunningJob {
    const running: RunningJob = {
      ...job,
      cachedTokens: 0,
      prefillLeft: job.promptTokens,
      generated: 0,
      submittedAt: this.#now,
      startedAt: 0,
    };
    const index = this.#waiting.findIndex((it) => it.priority > job.priority);
    if (index === -1) this.#waiting.push(running);
    else this.#waiting.splice(index, 0, running);
    return running;
  }

  /** Drops a job. */
  cancel(id: string): void {
    const keep = (job: RunningJob) => job.id !== id;
    const active = [...this.#prefilling, ...this.#decoding];
    const dropped = active.find((job) => !keep(job));
    if (dropped) this.cache.finish(dropped.cacheKey, contextTokens(dropped));
    this.#waiting = this.#waiting.filter(keep);
    this.#prefilling = this.#prefilling.filter(keep);
    this.#decoding = this.#decoding.filter(keep);
  }

  /** Moves time to `now` and returns what happened, in order. */
  advanceTo(now: number): EngineEvent[] {
    const events: EngineEvent[] = [];
    this.#admit(events);
    while (this.#now < now) {
      const end = Math.min(now, this.#now + this.#msToNextEvent());
      this.#run(Math.max(0, end - this.#now));
      this.#now = end;
      this.#collect(events);
      this.#admit(events);
    }
    return events;
  }

  /** Time of the next event, or Infinity when idle. */
  nextEventAt(): number {
    if (this.#waiting.length > 0 && this.#hasRoom()) return this.#now;
    return this.#now + this.#msToNextEvent();
  }

  load(): EngineLoad {
    const queued = [...this.#waiting, ...this.#prefilling];
    return {
      running: this.#prefilling.length + this.#decoding.length,
      waiting: this.#waiting.length,
      prefillTokens: queued.reduce((sum, job) => sum + job.prefillLeft, 0),
      cacheUsedTokens: this.cache.usedTokens,
    };
  }

  #hasRoom(): boolean {
    const running = this.#prefilling.length + this.#decoding.length;
    return running < this.params.maxBatch;
  }

  #admit(events: EngineEvent[]): void {
    while (this.#waiting.length > 0 && this.#hasRoom()) {
      const job = this.#waiting.shift() as RunningJob;
      const total = job.promptTokens + job.outputTokens;
      job.cachedTokens = this.cache.start(job.cacheKey, {
        promptTokens: job.promptTokens,
        totalTokens: total,
        now: this.#now,
      });
      job.prefillLeft = job.promptTokens - job.cachedTokens;
      job.startedAt = this.#now;
      this.prefilledTokens += job.prefillLeft;
      this.#prefilling.push(job);
      events.push({ kind: "started", job, at: this.#now });
    }
  }

  #tokenMs(): number {
    const batch = this.#decoding.length;
    return this.params.decodeBaseMs + batch * this.params.decodePerSequenceMs;
  }

  #msToNextEvent(): number {
    let ms = Infinity;
    const [first] = this.#prefilling;
    if (first) {
      ms = first.prefillLeft * MS_PER_S / this.params.prefillTokensPerS;
    }
    const tokenMs = this.#tokenMs();
    for (const job of this.#decoding) {
      ms = Math.min(ms, (job.outputTokens - job.generated) * tokenMs);
    }
    return Math.max(MIN_STEP_MS, ms);
  }

  #run(ms: number): void {
    const tokens = ms / this.#tokenMs();
    for (const job of this.#decoding) {
      job.generated = Math.min(job.outputTokens, job.generated + tokens);
    }
    const [first] = this.#prefilling;
    if (first) {
      first.prefillLeft -= ms * this.params.prefillTokensPerS / MS_PER_S;
    }
  }

  #collect(events: EngineEvent[]): void {
    const [first] = this.#prefilling;
    if (first && first.prefillLeft <= EPSILON) {
      this.#prefilling.shift();
      this.#decoding.push(first);
      events.push({ kind: "first_token", job: first, at: this.#now });
    }
    const done = this.#decoding.filter(isDone);
    if (done.length === 0) return;
    this.#decoding = this.#decoding.filter((job) => !isDone(job));
    for (const job of done) {
      this.generatedTokens += job.outputTokens;
      this.cache.finish(job.cacheKey, job.promptTokens + job.outputTokens);
      events.push({ kind: "done", job, at: this.#now });
    }
  }
}

function isDone(job: RunningJob): boolean {
  return job.outputTokens - job.generated <= EPSILON;
}

function contextTokens(job: RunningJob): number {
  return Math.floor(job.promptTokens - job.prefillLeft + job.generated);
}
