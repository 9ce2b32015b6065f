/** What a daemon believes an upstream has cached for a program. */
export interface CacheBelief {
  upstream: string;
  tokens: number;
  /** When the belief was last confirmed, in ms since the epoch. */
  at: number;
}

/** A change of a prefix cache as an upstream reports it. */
export interface CacheNotice {
  seq: number;
  kind: "stored" | "evicted";
  program: string;
  tokens: number;
}

/** Factor on beliefs that were formed before a gap in the events. */
const GAP_CONFIDENCE = 0.5;

/**
 * Beliefs about prefix caches, from own sends and from events that come late
 * and with gaps.
 */
export class CacheView {
  readonly #byProgram = new Map<string, CacheBelief[]>();
  readonly #lastSeq = new Map<string, number>();
  readonly #gapAt = new Map<string, number>();

  /** Sequence number of the last event seen of an upstream. */
  lastSeq(upstream: string): number {
    return this.#lastSeq.get(upstream) ?? 0;
  }

  /** Notes a finished call, after which the whole context is cached. */
  noteSend(program: string, belief: CacheBelief): void {
    const beliefs = this.#byProgram.get(program) ?? [];
    const others = beliefs.filter((it) => it.upstream !== belief.upstream);
    this.#byProgram.set(program, [...others, belief]);
  }

  /** Applies events in the order of their numbers; notes gaps. */
  noteEvents(upstream: string, notices: CacheNotice[], now: number): void {
    let last = this.lastSeq(upstream);
    for (const notice of notices) {
      if (last > 0 && notice.seq > last + 1) this.#gapAt.set(upstream, now);
      last = notice.seq;
      this.#apply(upstream, notice, now);
    }
    this.#lastSeq.set(upstream, last);
  }

  /** Forgets an upstream whose process started anew or has gone. */
  forgetUpstream(upstream: string): void {
    this.#lastSeq.delete(upstream);
    this.#gapAt.delete(upstream);
    for (const [program, beliefs] of this.#byProgram) {
      this.#byProgram.set(
        program,
        beliefs.filter((it) => it.upstream !== upstream),
      );
    }
  }

  /** Forgets a program that has ended. */
  forgetProgram(program: string): void {
    this.#byProgram.delete(program);
  }

  /** Expected tokens cached for a program on an upstream. */
  cachedTokens(program: string, upstream: string): number {
    const belief = this.#byProgram.get(program)
      ?.find((it) => it.upstream === upstream);
    if (!belief) return 0;
    const gapAt = this.#gapAt.get(upstream) ?? 0;
    return belief.at < gapAt ? belief.tokens * GAP_CONFIDENCE : belief.tokens;
  }

  /** Upstreams believed to have something cached for a program. */
  holders(program: string): string[] {
    return (this.#byProgram.get(program) ?? []).map((it) => it.upstream);
  }

  /** Programs with a belief, for reports. */
  get programs(): number {
    return this.#byProgram.size;
  }

  #apply(upstream: string, notice: CacheNotice, now: number): void {
    const beliefs = this.#byProgram.get(notice.program);
    if (!beliefs) return;
    const others = beliefs.filter((it) => it.upstream !== upstream);
    if (notice.kind === "evicted") {
      this.#byProgram.set(notice.program, others);
      return;
    }
    const belief = { upstream, tokens: notice.tokens, at: now };
    this.#byProgram.set(notice.program, [...others, belief]);
  }
}
