import type { Work, WorkClass } from "./work.ts";

/** In which order waiting work is served. */
export type OrderName = "fair" | "fifo";

/** Which waiting work may be tried. */
export interface CandidateOptions {
  now: number;
  /** Works to return at the most. */
  limit: number;
  /** Whether a caller may start a call. */
  allows: (caller: string) => boolean;
}

/** Waiting work for one target. */
export interface WaitQueue {
  readonly size: number;
  add(work: Work): void;
  remove(id: string): Work | undefined;
  /** Work in the order in which it should be tried. */
  candidates(opts: CandidateOptions): Work[];
  /** Waiting calls by caller. */
  waitingByCaller(): Map<string, number>;
  /** Charges a caller for work that was started, in ms of engine time. */
  charge(work: Work, costMs: number): void;
  values(): Iterable<Work>;
}

/** Creates the queue for an order. */
export const QUEUES: Record<OrderName, () => WaitQueue> = {
  fair: () => new FairQueue(),
  fifo: () => new FifoQueue(),
};

/** First come, first served. */
class FifoQueue implements WaitQueue {
  readonly #works = new Map<string, Work>();

  get size(): number {
    return this.#works.size;
  }

  add(work: Work): void {
    this.#works.set(work.id, work);
  }

  remove(id: string): Work | undefined {
    const work = this.#works.get(id);
    this.#works.delete(id);
    return work;
  }

  candidates({ limit, allows }: CandidateOptions): Work[] {
    const works: Work[] = [];
    for (const work of this.#works.values()) {
      if (works.length >= limit) break;
      if (allows(work.caller)) works.push(work);
    }
    return works;
  }

  waitingByCaller(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { caller } of this.#works.values()) {
      counts.set(caller, (counts.get(caller) ?? 0) + 1);
    }
    return counts;
  }

  charge(): void {}

  values(): Iterable<Work> {
    return this.#works.values();
  }
}

interface CallerQueue {
  caller: string;
  works: Map<string, Work>;
}

/** A program above this many tokens is served after smaller ones. */
const FIRST_LEVEL_TOKENS = 100_000;
/** Waiting this long raises work by one level. */
const AGING_MS = 20_000;
/** One of this many starts goes to bulk work first, so that it never starves. */
const BULK_TURN = 30;

/**
 * Weighted fair shares among callers (start-time fair queueing, Goyal et al.
 * 1996), foreground before bulk, and within a caller the program with the
 * least attained service first (Nuyens and Wierman, "The
 * foreground-background queue", 2008), with aging.
 */
class FairQueue implements WaitQueue {
  /** Callers with waiting work only, so that idle ones cost nothing. */
  readonly #waiting = new Map<string, CallerQueue>();
  /** Engine time charged so far over the weight, by caller. */
  readonly #virtualMs = new Map<string, number>();
  readonly #callerOf = new Map<string, string>();
  #virtualNow = 0;
  #starts = 0;

  get size(): number {
    return this.#callerOf.size;
  }

  add(work: Work): void {
    const { caller } = work;
    let queue = this.#waiting.get(caller);
    if (!queue) {
      queue = { caller, works: new Map() };
      this.#waiting.set(caller, queue);
      this.#virtualMs.set(
        caller,
        Math.max(this.#virtualOf(caller), this.#virtualNow),
      );
    }
    queue.works.set(work.id, work);
    this.#callerOf.set(work.id, caller);
  }

  remove(id: string): Work | undefined {
    const caller = this.#callerOf.get(id);
    if (caller === undefined) return undefined;
    this.#callerOf.delete(id);
    const queue = this.#waiting.get(caller);
    const work = queue?.works.get(id);
    queue?.works.delete(id);
    if (queue?.works.size === 0) this.#waiting.delete(caller);
    return work;
  }

  candidates({ now, limit, allows }: CandidateOptions): Work[] {
    const callers = [...this.#waiting.values()]
      .filter((it) => allows(it.caller))
      .sort((a, b) => this.#virtualOf(a.caller) - this.#virtualOf(b.caller));
    const ordered: Work[] = [];
    const isBulkTurn = this.#starts % BULK_TURN === BULK_TURN - 1;
    const classes: WorkClass[] = isBulkTurn
      ? ["bulk", "foreground"]
      : ["foreground", "bulk"];
    for (const workClass of classes) {
      for (const queue of callers) {
        if (ordered.length >= limit) return ordered;
        ordered.push(...bestWorks(queue, { now, workClass, limit }));
      }
    }
    return ordered.slice(0, limit);
  }

  waitingByCaller(): Map<string, number> {
    return new Map(
      [...this.#waiting.values()].map((it) => [it.caller, it.works.size]),
    );
  }

  charge(work: Work, costMs: number): void {
    this.#starts += 1;
    const virtualMs = this.#virtualOf(work.caller);
    this.#virtualNow = Math.max(this.#virtualNow, virtualMs);
    this.#virtualMs.set(
      work.caller,
      virtualMs + costMs / Math.max(work.weight, 1e-3),
    );
  }

  *values(): Iterable<Work> {
    for (const queue of this.#waiting.values()) yield* queue.works.values();
  }

  #virtualOf(caller: string): number {
    return this.#virtualMs.get(caller) ?? 0;
  }
}

function bestWorks(
  queue: CallerQueue,
  opts: { now: number; workClass: WorkClass; limit: number },
): Work[] {
  const works: Work[] = [];
  for (const work of queue.works.values()) {
    if (work.class === opts.workClass) works.push(work);
  }
  return works
    .sort((a, b) => compareWorks(a, b, opts.now))
    .slice(0, opts.limit);
}

/**
 * Orders two works of a caller: small programs first, in coarse levels that
 * grow by factors of four, and within a level the oldest program, so that
 * programs end and free their cache before new ones begin.
 */
function compareWorks(a: Work, b: Work, now: number): number {
  return level(a, now) - level(b, now) ||
    a.programStartedAt - b.programStartedAt;
}

function level(work: Work, now: number): number {
  const size = Math.log2(1 + work.attainedTokens / FIRST_LEVEL_TOKENS) / 2;
  const age = (now - work.enqueuedAt) / AGING_MS;
  return Math.max(0, Math.floor(size - age));
}
