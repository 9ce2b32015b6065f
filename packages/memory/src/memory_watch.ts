import type { Logger } from "@toucantrestle/log";
import type { Metrics } from "@toucantrestle/metrics";
import type { Timer } from "@toucantrestle/timer";
import type { MemoryHolders } from "./memory_holders.ts";
import { type MeasuredMemory, measureMemory } from "./process_memory.ts";

/** Options of `MemoryWatch`. */
export interface MemoryWatchOptions {
  holders: MemoryHolders;
  /** Memory limit of the process, in bytes; undefined if it has none. */
  memoryBytes: number | undefined;
  timer: Timer;
  log: Logger;
  /** Returns the memory in use. */
  measure?: () => MeasuredMemory;
}

const CHECK_INTERVAL_MS = 200;
const LOG_INTERVAL_MS = 1_000;
/** Part of the limit of the heap, or of the process, that is worth a line. */
const LOG_AT = 0.7;

/** Measures the memory of the process, and logs what it is kept for. */
export class MemoryWatch {
  readonly #opts: MemoryWatchOptions;
  readonly #measure: () => MeasuredMemory;
  #loggedAt = -Infinity;

  constructor(opts: MemoryWatchOptions) {
    this.#opts = opts;
    this.#measure = opts.measure ?? measureMemory;
  }

  start(): void {
    this.#opts.timer.every(CHECK_INTERVAL_MS, () => this.#check());
  }

  /** Sets the gauges of the memory in use and of what it is kept for. */
  reportGauges(metrics: Metrics): void {
    const memory = this.#measure();
    metrics.gauge("memory_heap_bytes", memory.heapBytes);
    metrics.gauge("memory_heap_limit_bytes", memory.heapLimitBytes);
    metrics.gauge("memory_external_bytes", memory.externalBytes);
    metrics.gauge("memory_resident_bytes", memory.residentBytes);
    const byPurpose = this.#opts.holders.bytesByPurpose();
    for (const [purpose, bytes] of Object.entries(byPurpose)) {
      metrics.gauge("memory_kept_bytes", bytes, { purpose });
    }
  }

  #check(): void {
    const memory = this.#measure();
    const fill = Math.max(
      memory.heapBytes / memory.heapLimitBytes,
      memory.residentBytes / (this.#opts.memoryBytes ?? Infinity),
    );
    if (fill >= LOG_AT) this.#log(memory);
  }

  #log(memory: MeasuredMemory): void {
    const { timer, log, holders, memoryBytes } = this.#opts;
    const now = timer.monotonicNow();
    if (now - this.#loggedAt < LOG_INTERVAL_MS) return;
    this.#loggedAt = now;
    log.warn("most of the memory is in use", {
      event: "memory_high",
      ...memory,
      memoryBytes,
      holders: holders.count,
      ...holders.bytesByPurpose(),
    });
  }
}
