import type { Logger } from "@toucantrestle/log";
import type { Metrics } from "@toucantrestle/metrics";
import type { Timer } from "@toucantrestle/timer";
import { disconnectReader } from "./responses.ts";
import type { Call } from "./call.ts";
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
  /** Calls in progress. */
  calls: () => Iterable<Call>;
  timer: Timer;
  log: Logger;
  metrics: Metrics;
}

/** A link of 1 Gbit/s brings some 25 MB within this time. */
const CHECK_INTERVAL_MS = 200;
const LOG_INTERVAL_MS = 1_000;

/**
 * Keeps the bytes that are buffered for callers within the budget of the
 * process. They are summed up now and then instead of with each chunk, so that
 * the path of a request does no accounting.
 */
export class MemoryGuard {
  readonly #opts: MemoryGuardOptions;
  readonly #budgetBytes: number;
  /** Since when callers have not taken all that was sent, by call. */
  readonly #waitingSince = new WeakMap<Call, number>();
  #decision: PressureDecision<Call>;
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
    const held: HeldBytes<Call>[] = [];
    for (const call of this.#opts.calls()) held.push(...this.#heldBy(call));
    if (held.length === 0 && this.heldBytes === 0) return;
    this.#decision = this.#decide(held);
    const { cut, isRefusing } = this.#decision;
    for (const call of cut) disconnectReader(call);
    if (cut.length > 0) {
      this.#opts.metrics.count("slow_readers_cut", cut.length);
    }
    if (isRefusing) this.#logPressure();
  }

  #decide(held: HeldBytes<Call>[]): PressureDecision<Call> {
    const now = this.#opts.timer.monotonicNow();
    const decision = decidePressure(held, {
      budgetBytes: this.#budgetBytes,
      refusingMs: now - (this.#refusingSince ?? now),
    });
    if (!decision.isRefusing) this.#refusingSince = undefined;
    else this.#refusingSince ??= now;
    return decision;
  }

  #heldBy(call: Call): HeldBytes<Call>[] {
    const now = this.#opts.timer.monotonicNow();
    const { res, route, body } = call;
    const bytes = res.writableLength;
    if (bytes === 0) this.#waitingSince.delete(call);
    else if (!this.#waitingSince.has(call)) this.#waitingSince.set(call, now);
    const isIrreplaceable = route.kind === "non_idempotent";
    const since = this.#waitingSince.get(call) ?? now;
    return [
      {
        holder: call,
        purpose: route.kind === "streaming" ? "streams" : "responses",
        bytes,
        waitingMs: now - since,
        isIrreplaceable,
      },
      {
        holder: call,
        purpose: "request_bodies",
        bytes: body.length,
        // A request in progress is not cut for its body.
        waitingMs: 0,
        isIrreplaceable,
      },
    ];
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
