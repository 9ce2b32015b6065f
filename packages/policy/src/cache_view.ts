import { setNewest } from "./bounded_map.ts";

/** A daemon's estimate of what an upstream has cached for a program. */
export interface CacheEstimate {
  upstream: string;
  tokens: number;
  /** When the estimate was last confirmed, in ms since the epoch. */
  at: number;
}

/** A change of a prefix cache, as reported by an upstream. */
export interface CacheEvent {
  seq: number;
  kind: "stored" | "evicted";
  program: string;
  tokens: number;
}

/**
 * Factor applied to estimates that were made before a gap in the event
 * sequence.
 */
const PRE_GAP_CONFIDENCE = 0.5;

/**
 * Most programs with estimates. Those that were taken over by another host end
 * there, so that the oldest have to make room.
 */
const MAX_PROGRAMS = 50_000;

/**
 * Estimates of the contents of prefix caches. Sources are the calls that this
 * daemon completed and the cache events of the upstreams, which arrive late and
 * with gaps.
 */
export class CacheView {
  readonly #byProgram = new Map<string, CacheEstimate[]>();
  readonly #lastSeq = new Map<string, number>();
  readonly #lastGapAt = new Map<string, number>();

  /** Returns the sequence number of the last event received from an upstream. */
  lastSeq(upstream: string): number {
    return this.#lastSeq.get(upstream) ?? 0;
  }

  /** Records a finished call, after which its complete context is cached. */
  recordCompletion(program: string, estimate: CacheEstimate): void {
    const estimates = this.#byProgram.get(program) ?? [];
    const others = estimates.filter((it) => it.upstream !== estimate.upstream);
    setNewest(this.#byProgram, [program, [...others, estimate]], MAX_PROGRAMS);
  }

  /**
   * Applies events in the order of their sequence numbers. Records the time of
   * each gap in the sequence.
   */
  applyEvents(upstream: string, events: CacheEvent[], now: number): void {
    let last = this.lastSeq(upstream);
    for (const event of events) {
      if (last > 0 && event.seq > last + 1) this.#lastGapAt.set(upstream, now);
      last = event.seq;
      this.#applyEvent(upstream, event, now);
    }
    this.#lastSeq.set(upstream, last);
  }

  /** Removes all data of an upstream that restarted or was removed. */
  removeUpstream(upstream: string): void {
    this.#lastSeq.delete(upstream);
    this.#lastGapAt.delete(upstream);
    for (const [program, estimates] of this.#byProgram) {
      this.#byProgram.set(
        program,
        estimates.filter((it) => it.upstream !== upstream),
      );
    }
  }

  /** Removes all estimates of a program that has ended. */
  removeProgram(program: string): void {
    this.#byProgram.delete(program);
  }

  /** Returns the estimated tokens cached for a program on an upstream. */
  cachedTokens(program: string, upstream: string): number {
    const estimate = this.#byProgram.get(program)
      ?.find((it) => it.upstream === upstream);
    if (!estimate) return 0;
    const lastGapAt = this.#lastGapAt.get(upstream) ?? 0;
    return estimate.at < lastGapAt
      ? estimate.tokens * PRE_GAP_CONFIDENCE
      : estimate.tokens;
  }

  /** Returns the upstreams that are estimated to cache data of a program. */
  upstreamsCaching(program: string): string[] {
    return (this.#byProgram.get(program) ?? []).map((it) => it.upstream);
  }

  /** Number of programs with estimates, for status reports. */
  get programs(): number {
    return this.#byProgram.size;
  }

  #applyEvent(upstream: string, event: CacheEvent, now: number): void {
    const estimates = this.#byProgram.get(event.program);
    if (!estimates) return;
    const others = estimates.filter((it) => it.upstream !== upstream);
    if (event.kind === "evicted") {
      this.#byProgram.set(event.program, others);
      return;
    }
    const estimate = { upstream, tokens: event.tokens, at: now };
    this.#byProgram.set(event.program, [...others, estimate]);
  }
}
