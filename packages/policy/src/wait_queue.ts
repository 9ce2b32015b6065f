import type { WorkClass, WorkItem } from "./work.ts";

/** Order in which queued calls are served. */
export type OrderName = "fair" | "fifo";

/** Selects the queued calls that may be started. */
export interface CandidateOptions {
  now: number;
  /** Maximum number of calls to return. */
  limit: number;
  /** Whether a caller may start a call. */
  allows: (caller: string) => boolean;
}

/** Queue of the calls for one target. */
export interface WaitQueue {
  readonly size: number;
  add(work: WorkItem): void;
  remove(id: string): WorkItem | undefined;
  /** Returns queued calls in the order in which they should be started. */
  candidates(opts: CandidateOptions): WorkItem[];
  /** Returns the number of queued calls by caller. */
  waitingByCaller(): Map<string, number>;
  /** Charges the caller of a started call with its cost in ms of engine time. */
  charge(work: WorkItem, costMs: number): void;
  values(): Iterable<WorkItem>;
}

/** Queue factories by order. */
export const QUEUES: Record<OrderName, () => WaitQueue> = {
  fair: () => new FairQueue(),
  fifo: () => new FifoQueue(),
};

/** Serves calls in order of arrival. */
class FifoQueue implements WaitQueue {
  readonly #calls = new Map<string, WorkItem>();

  get size(): number {
    return this.#calls.size;
  }

  add(work: WorkItem): void {
    this.#calls.set(work.id, work);
  }

  remove(id: string): WorkItem | undefined {
    const work = this.#calls.get(id);
    this.#calls.delete(id);
    return work;
  }

  candidates({ limit, allows }: CandidateOptions): WorkItem[] {
    const calls: WorkItem[] = [];
    for (const work of this.#calls.values()) {
      if (calls.length >= limit) break;
      if (allows(work.caller)) calls.push(work);
    }
    return calls;
  }

  waitingByCaller(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { caller } of this.#calls.values()) {
      counts.set(caller, (counts.get(caller) ?? 0) + 1);
    }
    return counts;
  }

  charge(): void {}

  values(): Iterable<WorkItem> {
    return this.#calls.values();
  }
}

/** Queued calls of one caller. */
interface CallerQueue {
  caller: string;
  calls: Map<string, WorkItem>;
}

/** Programs above this many attained tokens are served after smaller ones. */
const FIRST_LEVEL_TOKENS = 100_000;
/** Each such period in the queue raises the priority of a call by one level. */
const AGING_MS = 20_000;
/** One of this many starts serves bulk calls first, to prevent starvation. */
const BULK_TURN_INTERVAL = 30;

/**
 * Weighted fair queueing among callers (start-time fair queueing, Goyal et al.,
 * 1996). Foreground calls are served before bulk calls. Within a caller the
 * program with the least attained service is served first (Nuyens and Wierman,
 * "The foreground-background queue", 2008), with aging.
 */
class FairQueue implements WaitQueue {
  /** Queues of callers with queued calls only; idle callers are not scanned. */
  readonly #queues = new Map<string, CallerQueue>();
  /** Engine time charged so far divided by the caller's weight, by caller. */
  readonly #callerVirtualMs = new Map<string, number>();
  /** Caller of each queued call, by call id. */
  readonly #callerOf = new Map<string, string>();
  #systemVirtualMs = 0;
  #startCount = 0;

  get size(): number {
    return this.#callerOf.size;
  }

  add(work: WorkItem): void {
    const { caller } = work;
    let queue = this.#queues.get(caller);
    if (!queue) {
      queue = { caller, calls: new Map() };
      this.#queues.set(caller, queue);
      this.#callerVirtualMs.set(
        caller,
        Math.max(this.#virtualMsOf(caller), this.#systemVirtualMs),
      );
    }
    queue.calls.set(work.id, work);
    this.#callerOf.set(work.id, caller);
  }

  remove(id: string): WorkItem | undefined {
    const caller = this.#callerOf.get(id);
    if (caller === undefined) return undefined;
    this.#callerOf.delete(id);
    const queue = this.#queues.get(caller);
    const work = queue?.calls.get(id);
    queue?.calls.delete(id);
    if (queue?.calls.size === 0) this.#queues.delete(caller);
    return work;
  }

  candidates({ now, limit, allows }: CandidateOptions): WorkItem[] {
    const callers = [...this.#queues.values()]
      .filter((it) => allows(it.caller))
      .sort((a, b) =>
        this.#virtualMsOf(a.caller) - this.#virtualMsOf(b.caller)
      );
    const ordered: WorkItem[] = [];
    const isBulkTurn =
      this.#startCount % BULK_TURN_INTERVAL === BULK_TURN_INTERVAL - 1;
    const classes: WorkClass[] = isBulkTurn
      ? ["bulk", "foreground"]
      : ["foreground", "bulk"];
    for (const workClass of classes) {
      for (const queue of callers) {
        if (ordered.length >= limit) return ordered;
        ordered.push(...firstCalls(queue, { now, workClass, limit }));
      }
    }
    return ordered.slice(0, limit);
  }

  waitingByCaller(): Map<string, number> {
    return new Map(
      [...this.#queues.values()].map((it) => [it.caller, it.calls.size]),
    );
  }

  charge(work: WorkItem, costMs: number): void {
    this.#startCount += 1;
    const virtualMs = this.#virtualMsOf(work.caller);
    this.#systemVirtualMs = Math.max(this.#systemVirtualMs, virtualMs);
    this.#callerVirtualMs.set(
      work.caller,
      virtualMs + costMs / Math.max(work.weight, 1e-3),
    );
  }

  *values(): Iterable<WorkItem> {
    for (const queue of this.#queues.values()) yield* queue.calls.values();
  }

  #virtualMsOf(caller: string): number {
    return this.#callerVirtualMs.get(caller) ?? 0;
  }
}

function firstCalls(
  queue: CallerQueue,
  opts: { now: number; workClass: WorkClass; limit: number },
): WorkItem[] {
  const calls: WorkItem[] = [];
  for (const work of queue.calls.values()) {
    if (work.class === opts.workClass) calls.push(work);
  }
  return calls
    .sort((a, b) => compareCalls(a, b, opts.now))
    .slice(0, opts.limit);
}

/**
 * Compares two calls of a caller. Small programs come first, in size levels
 * that grow by factors of four. Within a level the oldest program comes first,
 * so that programs finish and free their cache before new ones start.
 */
function compareCalls(a: WorkItem, b: WorkItem, now: number): number {
  return priorityLevel(a, now) - priorityLevel(b, now) ||
    a.programStartedAt - b.programStartedAt;
}

/** Returns the priority level of a call; lower levels are served first. */
function priorityLevel(work: WorkItem, now: number): number {
  const size = Math.log2(1 + work.attainedTokens / FIRST_LEVEL_TOKENS) / 2;
  const age = (now - work.enqueuedAt) / AGING_MS;
  return Math.max(0, Math.floor(size - age));
}
