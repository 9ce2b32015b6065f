import { PrefixCache } from "./prefix_cache.ts";

/** Performance parameters of an engine. */
export interface EngineParams {
  /** Prompt tokens computed per second, in total over all sequences. */
  prefillTokensPerS: number;
  /** Base duration of a decoding step in ms. */
  decodeBaseMs: number;
  /** Duration in ms that each sequence of the batch adds to a decoding step. */
  decodePerSequenceMs: number;
  /** Maximum number of sequences that run concurrently. */
  maxBatch: number;
  /** Capacity of the cache in tokens, including running sequences. */
  cacheTokens: number;
}

/** A completion to compute. Sizes in tokens, times in ms. */
export interface EngineJob {
  id: string;
  /** Key under which prompt prefixes are shared, normally the program id. */
  cacheKey: string;
  promptTokens: number;
  outputTokens: number;
  /** Jobs with a lower value run first. */
  priority: number;
}

/** A submitted job and its progress. Times in ms. */
export interface EngineJobState extends EngineJob {
  /** Prompt tokens served from the cache. */
  cachedTokens: number;
  /** Prompt tokens that remain to be computed. */
  remainingPrefillTokens: number;
  /** Output tokens generated so far, including a fraction of the next one. */
  generatedTokens: number;
  submittedAt: number;
  startedAt: number;
}

/** An event that occurred while the simulated clock advanced. */
export interface EngineEvent {
  kind: "started" | "first_token" | "done";
  job: EngineJobState;
  at: number;
}

/** Load of an engine at one point in time. */
export interface EngineLoad {
  running: number;
  waiting: number;
  /**
   * Prompt tokens that remain to be computed, for waiting and prefilling jobs.
   */
  prefillTokens: number;
  cacheUsedTokens: number;
}

const MS_PER_S = 1_000;
const TOKEN_EPSILON = 1e-6;
/**
 * Minimum step of the simulated clock: wall-clock times have no finer
 * resolution.
 */
const MIN_CLOCK_STEP_MS = 0.01;

/** Defaults that resemble a small model on one accelerator. */
export const DEFAULT_ENGINE_PARAMS: EngineParams = {
  prefillTokensPerS: 8_000,
  decodeBaseMs: 8,
  decodePerSequenceMs: 0.4,
  maxBatch: 16,
  cacheTokens: 120_000,
};

/**
 * Fluid model of an engine with continuous batching: progress is continuous in
 * simulated time. Prompts are prefilled one at a time, while all sequences that
 * have finished prefill decode at a rate that falls with the batch size.
 */
export class EngineModel {
  readonly params: EngineParams;
  readonly cache: PrefixCache;
  /** Prompt tokens scheduled for computation since the engine started. */
  prefilledTokens = 0;
  /** Output tokens of completed jobs since the engine started. */
  generatedTokens = 0;
  #now: number;
  #waiting: EngineJobState[] = [];
  #prefilling: EngineJobState[] = [];
  #decoding: EngineJobState[] = [];

  constructor(params: EngineParams, now: number) {
    this.params = params;
    this.cache = new PrefixCache(params.cacheTokens);
    this.#now = now;
  }

  /** Queues a job at the current simulated time, ordered by priority. */
  submit(job: EngineJob): EngineJobState {
    const running: EngineJobState = {
      ...job,
      cachedTokens: 0,
      remainingPrefillTokens: job.promptTokens,
      generatedTokens: 0,
      submittedAt: this.#now,
      startedAt: 0,
    };
    const index = this.#waiting.findIndex((it) => it.priority > job.priority);
    if (index === -1) this.#waiting.push(running);
    else this.#waiting.splice(index, 0, running);
    return running;
  }

  /**
   * Cancels a waiting or running job; the cache keeps the tokens computed so
   * far.
   */
  cancel(id: string): void {
    const isOther = (job: EngineJobState) => job.id !== id;
    const active = [...this.#prefilling, ...this.#decoding];
    const job = active.find((it) => !isOther(it));
    if (job) this.cache.finishSequence(job.cacheKey, contextTokens(job));
    this.#waiting = this.#waiting.filter(isOther);
    this.#prefilling = this.#prefilling.filter(isOther);
    this.#decoding = this.#decoding.filter(isOther);
  }

  /** Advances simulated time to `now`. Returns the events in order of time. */
  advanceTo(now: number): EngineEvent[] {
    const events: EngineEvent[] = [];
    this.#admit(events);
    while (this.#now < now) {
      const end = Math.min(now, this.#now + this.#msToNextEvent());
      this.#compute(Math.max(0, end - this.#now));
      this.#now = end;
      this.#finishJobs(events);
      this.#admit(events);
    }
    return events;
  }

  /** Returns the time of the next event, or Infinity if the engine is idle. */
  nextEventAt(): number {
    if (this.#waiting.length > 0 && this.#hasFreeSlot()) return this.#now;
    return this.#now + this.#msToNextEvent();
  }

  load(): EngineLoad {
    const queued = [...this.#waiting, ...this.#prefilling];
    return {
      running: this.#prefilling.length + this.#decoding.length,
      waiting: this.#waiting.length,
      prefillTokens: queued.reduce(
        (sum, job) => sum + job.remainingPrefillTokens,
        0,
      ),
      cacheUsedTokens: this.cache.usedTokens,
    };
  }

  #hasFreeSlot(): boolean {
    const running = this.#prefilling.length + this.#decoding.length;
    return running < this.params.maxBatch;
  }

  #admit(events: EngineEvent[]): void {
    while (this.#waiting.length > 0 && this.#hasFreeSlot()) {
      const job = this.#waiting.shift() as EngineJobState;
      const total = job.promptTokens + job.outputTokens;
      job.cachedTokens = this.cache.startSequence(job.cacheKey, {
        promptTokens: job.promptTokens,
        totalTokens: total,
        now: this.#now,
      });
      job.remainingPrefillTokens = job.promptTokens - job.cachedTokens;
      job.startedAt = this.#now;
      this.prefilledTokens += job.remainingPrefillTokens;
      this.#prefilling.push(job);
      events.push({ kind: "started", job, at: this.#now });
    }
  }

  #decodeStepMs(): number {
    const batch = this.#decoding.length;
    return this.params.decodeBaseMs + batch * this.params.decodePerSequenceMs;
  }

  #msToNextEvent(): number {
    let ms = Infinity;
    const [first] = this.#prefilling;
    if (first) {
      ms = first.remainingPrefillTokens * MS_PER_S /
        this.params.prefillTokensPerS;
    }
    const stepMs = this.#decodeStepMs();
    for (const job of this.#decoding) {
      ms = Math.min(ms, (job.outputTokens - job.generatedTokens) * stepMs);
    }
    return Math.max(MIN_CLOCK_STEP_MS, ms);
  }

  #compute(ms: number): void {
    const tokens = ms / this.#decodeStepMs();
    for (const job of this.#decoding) {
      job.generatedTokens = Math.min(
        job.outputTokens,
        job.generatedTokens + tokens,
      );
    }
    const [first] = this.#prefilling;
    if (first) {
      first.remainingPrefillTokens -= ms * this.params.prefillTokensPerS /
        MS_PER_S;
    }
  }

  #finishJobs(events: EngineEvent[]): void {
    const [first] = this.#prefilling;
    if (first && first.remainingPrefillTokens <= TOKEN_EPSILON) {
      this.#prefilling.shift();
      this.#decoding.push(first);
      events.push({ kind: "first_token", job: first, at: this.#now });
    }
    const done = this.#decoding.filter(isDone);
    if (done.length === 0) return;
    this.#decoding = this.#decoding.filter((job) => !isDone(job));
    for (const job of done) {
      this.generatedTokens += job.outputTokens;
      this.cache.finishSequence(
        job.cacheKey,
        job.promptTokens + job.outputTokens,
      );
      events.push({ kind: "done", job, at: this.#now });
    }
  }
}

function isDone(job: EngineJobState): boolean {
  return job.outputTokens - job.generatedTokens <= TOKEN_EPSILON;
}

function contextTokens(job: EngineJobState): number {
  return Math.floor(
    job.promptTokens - job.remainingPrefillTokens + job.generatedTokens,
  );
}
