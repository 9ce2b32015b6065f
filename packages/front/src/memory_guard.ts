import type { Logger } from "@toucantrestle/log";
import type { MemoryHolder, MemoryHolders } from "@toucantrestle/memory";
import type { Metrics } from "@toucantrestle/metrics";
import type { Timer } from "@toucantrestle/timer";
import type { Call } from "./call.ts";
import { CallerQueue } from "./call_holders.ts";
import {
  bufferBudget,
  decidePressure,
  type HeldBytes,
  type PressureDecision,
} from "./memory_pressure.ts";

/** Options of `MemoryGuard`. */
export interface MemoryGuardOptions {
  /** Memory limit of the process. */
  memoryBytes: number;
  /** What is kept for peers. Only queues to callers are cut here. */
  holders: MemoryHolders;
  timer: Timer;
  log: Logger;
  metrics: Metrics;
}

/** A link of 1 Gbit/s brings some 25 MB within this time. */
const CHECK_INTERVAL_MS = 200;
const LOG_INTERVAL_MS = 1_000;

/**
 * Holds what is kept for peers within the budget of the process, by refusing new
 * requests and cutting slow readers. The bytes are summed up now and then instead
 * of with each chunk, so that the path of a request does no accounting.
 */
export class MemoryGuard {
  readonly #opts: MemoryGuardOptions;
  readonly #budgetBytes: number;
  /** Since when callers have not taken all that was sent, by call. */
  readonly #waitingSince = new WeakMap<Call, number>();
  #decision: PressureDecision<MemoryHolder>;
  /** Since when new requests are refused; undefined while they are not. */
  #refusingSince: number | undefined;
  #loggedAt = -Infinity;

  constructor(opts: MemoryGuardOptions) {
    this.#opts = opts;
    this.#budgetBytes = bufferBudget(opts.memoryBytes);
    this.#decision = this.#decide([]);
  }

  /** Whether new requests are refused. */
  get isRefusing(): boolean {
    return this.#decision.isRefusing;
  }

  /** Bytes held at the last check. */
  get heldBytes(): number {
    return this.#decision.heldBytes;
  }

  start(): void {
    this.#opts.timer.every(CHECK_INTERVAL_MS, () => this.#check());
  }

  #check(): void {
    const held: HeldBytes<MemoryHolder>[] = [];
    for (const holder of this.#opts.holders) {
      held.push(
        holder instanceof CallerQueue
          ? this.#heldForReader(holder)
          : heldBeside(holder),
      );
    }
    if (held.length === 0 && this.heldBytes === 0) return;
    this.#decision = this.#decide(held);
    const { cut, isRefusing } = this.#decision;
    for (const queue of cut) queue.cut?.();
    if (cut.length > 0) {
      this.#opts.metrics.count("slow_readers_cut", cut.length);
    }
    if (isRefusing) this.#logPressure();
  }

  #decide(held: HeldBytes<MemoryHolder>[]): PressureDecision<MemoryHolder> {
    const now = this.#opts.timer.monotonicNow();
    const decision = decidePressure(held, {
      budgetBytes: this.#budgetBytes,
      refusingMs: now - (this.#refusingSince ?? now),
    });
    if (!decision.isRefusing) this.#refusingSince = undefined;
    else this.#refusingSince ??= now;
    return decision;
  }

  #heldForReader(queue: CallerQueue): HeldBytes<MemoryHolder> {
    const now = this.#opts.timer.monotonicNow();
    const { call, purpose, isIrreplaceable } = queue;
    const bytes = queue.keptBytes();
    if (bytes === 0) this.#waitingSince.delete(call);
    else if (!this.#waitingSince.has(call)) this.#waitingSince.set(call, now);
    const since = this.#waitingSince.get(call) ?? now;
    const waitingMs = now - since;
    return { holder: queue, purpose, bytes, waitingMs, isIrreplaceable };
  }

  #logPressure(): void {
    const now = this.#opts.timer.monotonicNow();
    if (now - this.#loggedAt < LOG_INTERVAL_MS) return;
    this.#loggedAt = now;
    const { heldBytes, bytesByPurpose, cut } = this.#decision;
    this.#opts.log.warn("buffers are full, new requests are refused", {
      event: "memory_pressure",
      heldBytes,
      budgetBytes: this.#budgetBytes,
      cut: cut.length,
      ...bytesByPurpose,
    });
  }
}

/** What no reader waits for is not cut as that of a slow one. */
function heldBeside(holder: MemoryHolder): HeldBytes<MemoryHolder> {
  return {
    holder,
    purpose: holder.purpose,
    bytes: holder.keptBytes(),
    waitingMs: 0,
    isIrreplaceable: holder.isIrreplaceable ?? false,
    isFixed: holder.cut === undefined,
  };
}
