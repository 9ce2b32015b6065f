import type { Logger } from "@toucantrestle/log";
import type { Metrics } from "@toucantrestle/metrics";
import type { Timer } from "@toucantrestle/timer";
import { heaviestHolders, type HeavyHolder } from "./heaviest_holders.ts";
import { excessBytes, type MemoryFill, memoryFill } from "./memory_fill.ts";
import type { MemoryHolder, MemoryHolders } from "./memory_holders.ts";
import {
  type MeasuredMemory,
  measureMemory,
  type MemoryGauge,
  processMemory,
} from "./process_memory.ts";

/** Options of `MemoryWatch`. */
export interface MemoryWatchOptions {
  holders: MemoryHolders;
  /** Memory limit of the process, in bytes; undefined if it has none. */
  memoryBytes: number | undefined;
  timer: Timer;
  log: Logger;
  metrics: Metrics;
  /** Measures the memory; that of this process by default. */
  gauge?: MemoryGauge;
}

const CHECK_INTERVAL_MS = 200;
/** Time until the next check while most of the memory is in use. */
const HIGH_CHECK_INTERVAL_MS = 100;
/** Time between two looks at the resident memory while little is in use. */
const RESIDENT_INTERVAL_MS = 1_000;
const LOG_INTERVAL_MS = 1_000;
/** Part of the memory that is worth a line. */
const HIGH_AT = 0.7;
/** Part of the memory from which new work is refused and peers are cut. */
const FULL_AT = 0.8;
/** Garbage is collected again after this time, or this growth of the heap. */
const COLLECT_INTERVAL_MS = 1_000;
const COLLECT_GROWTH = 0.05;
/** Part of heap and buffers that must be in use for a cut for resident memory. */
const RESIDENT_CUT_AT = 0.5;
/**
 * Part of the memory limit in buffers that is worth a collection while the
 * resident memory is high: they may be garbage that the heap does not feel.
 */
const BUFFERS_AT = 0.1;
/** Growth of the resident memory that is worth another collection or cut. */
const RESIDENT_GROWTH_BYTES = 2_000_000;

/**
 * Keeps the process from ending for lack of memory, whatever else has a bound.
 * Cuts the peers that the most is kept for while the memory is nearly full, which
 * is decided once garbage is collected: a process that has only that cuts nobody.
 */
export class MemoryWatch {
  readonly #opts: MemoryWatchOptions;
  readonly #gauge: MemoryGauge;
  readonly #memoryBytes: number;
  readonly #wasCut = new WeakSet<MemoryHolder>();
  #residentBytes = 0;
  #residentReadAt = -Infinity;
  #loggedAt = -Infinity;
  #collectedAt = -Infinity;
  /** Memory after garbage was collected last, in bytes. */
  #collectedHeapBytes = 0;
  #collectedResidentBytes = 0;
  /** Resident memory at the last cut, which lowers it late or not at all. */
  #residentAtCut = 0;
  #hasCut = false;
  #isFull = false;

  constructor(opts: MemoryWatchOptions) {
    this.#opts = opts;
    this.#gauge = opts.gauge ?? processMemory;
    this.#memoryBytes = opts.memoryBytes ?? Infinity;
  }

  /** Whether nearly all memory is in use, so that new work is refused. */
  get isFull(): boolean {
    return this.#isFull;
  }

  start(): void {
    this.#opts.timer.every(CHECK_INTERVAL_MS, () => this.#checkTwice());
  }

  /** Sets the gauges of the memory in use and of what it is kept for. */
  reportGauges(metrics: Metrics): void {
    const memory = measureMemory(this.#gauge);
    metrics.gauge("memory_heap_bytes", memory.heapBytes);
    metrics.gauge("memory_heap_limit_bytes", memory.heapLimitBytes);
    metrics.gauge("memory_external_bytes", memory.externalBytes);
    metrics.gauge("memory_resident_bytes", memory.residentBytes);
    metrics.gauge("memory_full", Number(this.#isFull));
    const byPurpose = this.#opts.holders.bytesByPurpose();
    for (const [purpose, bytes] of Object.entries(byPurpose)) {
      metrics.gauge("memory_kept_bytes", bytes, { purpose });
    }
  }

  /** Checks once more before the next interval if much memory is in use. */
  #checkTwice(): void {
    if (!this.#check()) return;
    this.#opts.timer.after(HIGH_CHECK_INTERVAL_MS, () => this.#check());
  }

  /** Returns whether most of the memory is in use. */
  #check(): boolean {
    const memory = this.#measure();
    const fill = this.#fillOf(memory);
    if (fill.resident < HIGH_AT) this.#residentAtCut = 0;
    const mayBeFull = isFull(fill) || isResidentFull(fill) ||
      this.#hasManyBuffers(memory, fill);
    if (mayBeFull) this.#freeMemory(memory);
    else this.#isFull = false;
    if (fill.most < HIGH_AT) return false;
    this.#log(memory);
    return true;
  }

  #hasManyBuffers(memory: MeasuredMemory, { resident }: MemoryFill): boolean {
    return resident >= FULL_AT &&
      memory.externalBytes >= BUFFERS_AT * this.#memoryBytes;
  }

  /** Refuses and cuts if the memory is full of what is in use. */
  #freeMemory(before: MeasuredMemory): void {
    if (!this.#mayCollect(before)) return;
    this.#gauge.collectGarbage();
    const memory = this.#measure();
    this.#collectedAt = this.#opts.timer.monotonicNow();
    this.#collectedHeapBytes = memory.heapBytes;
    this.#collectedResidentBytes = memory.residentBytes;
    this.#hasCut = false;
    const fill = this.#fillOf(memory);
    this.#isFull = isFull(fill) || isResidentFull(fill);
    if (isFull(fill)) this.#cutHeaviest(memory, this.#excessOf(memory));
    else if (this.#isFull) this.#freeResident(memory);
  }

  /** Cuts one peer each time that the resident memory has grown. */
  #freeResident(memory: MeasuredMemory): void {
    const { residentBytes } = memory;
    if (residentBytes < this.#residentAtCut + RESIDENT_GROWTH_BYTES) return;
    this.#cutHeaviest(memory, 0);
  }

  #cutHeaviest(memory: MeasuredMemory, excess: number): void {
    this.#residentAtCut = memory.residentBytes;
    const holders = [...this.#opts.holders]
      .filter((it) => !this.#wasCut.has(it));
    for (const it of heaviestHolders(holders, excess)) this.#cut(it, memory);
  }

  #excessOf(memory: MeasuredMemory): number {
    return excessBytes(memory, {
      memoryBytes: this.#memoryBytes,
      part: FULL_AT,
    });
  }

  #cut({ holder, keptBytes }: HeavyHolder, memory: MeasuredMemory): void {
    const { log, metrics } = this.#opts;
    const { purpose } = holder;
    this.#wasCut.add(holder);
    this.#hasCut = true;
    metrics.count("memory_cuts", 1, { purpose });
    log.warn("memory is full, the peer that the most is kept for is cut", {
      event: "memory_cut",
      purpose,
      keptBytes,
      ...this.#fieldsOf(memory),
    });
    try {
      holder.cut?.();
    } catch (err) {
      log.error(`cannot cut a peer: ${String(err)}`, { purpose });
    }
  }

  /** Whether it is worth it to collect garbage, which stops the process. */
  #mayCollect(memory: MeasuredMemory): boolean {
    const now = this.#opts.timer.monotonicNow();
    return this.#hasCut || now - this.#collectedAt >= COLLECT_INTERVAL_MS ||
      this.#hasGrown(memory);
  }

  /** Resident memory that was high once stays so while garbage comes and goes. */
  #hasGrown(memory: MeasuredMemory): boolean {
    const { heapBytes, heapLimitBytes, residentBytes } = memory;
    if (isFull(this.#fillOf(memory))) {
      const growthBytes = heapBytes - this.#collectedHeapBytes;
      return growthBytes >= COLLECT_GROWTH * heapLimitBytes;
    }
    const growthBytes = residentBytes - this.#collectedResidentBytes;
    return growthBytes >= RESIDENT_GROWTH_BYTES;
  }

  /** The resident memory is read seldom while the heap is low. */
  #measure(): MeasuredMemory {
    const heap = this.#gauge.heap();
    const now = this.#opts.timer.monotonicNow();
    const { most } = this.#fillOf({
      ...heap,
      residentBytes: this.#residentBytes,
    });
    if (most >= HIGH_AT || now - this.#residentReadAt >= RESIDENT_INTERVAL_MS) {
      this.#residentBytes = this.#gauge.residentBytes();
      this.#residentReadAt = now;
    }
    return { ...heap, residentBytes: this.#residentBytes };
  }

  #fillOf(memory: MeasuredMemory): MemoryFill {
    return memoryFill(memory, this.#memoryBytes);
  }

  #log(memory: MeasuredMemory): void {
    const { timer, log, holders } = this.#opts;
    const now = timer.monotonicNow();
    if (now - this.#loggedAt < LOG_INTERVAL_MS) return;
    this.#loggedAt = now;
    log.warn("most of the memory is in use", {
      event: "memory_high",
      ...this.#fieldsOf(memory),
      holders: holders.count,
      ...holders.bytesByPurpose(),
    });
  }

  #fieldsOf(memory: MeasuredMemory): Record<string, number | undefined> {
    return {
      ...memory,
      memoryBytes: this.#opts.memoryBytes,
      isFull: Number(this.#isFull),
    };
  }
}

/** Whether heap and buffers use nearly all of what they may. */
function isFull({ heap, objects }: MemoryFill): boolean {
  return Math.max(heap, objects) >= FULL_AT;
}

/**
 * Whether the resident memory is nearly all of what it may be, and not only
 * what has been in use before.
 */
function isResidentFull({ resident, objects }: MemoryFill): boolean {
  return resident >= FULL_AT && objects >= RESIDENT_CUT_AT;
}
