import { createNoopLoggers, type Logger } from "@toucantrestle/log";
import { createNoopMetrics } from "@toucantrestle/metrics";
import { createManualTimer, type ManualTimer } from "@toucantrestle/timer";
import {
  type MemoryGauge,
  type MemoryHolder,
  MemoryHolders,
  MemoryWatch,
} from "../src/mod.ts";

const MB = 1_000_000;
/** Limits of the heap and of the process, in bytes. */
export const HEAP_LIMIT = 100 * MB;
export const MEMORY_LIMIT = 200 * MB;
const PROGRAM_BYTES = 20 * MB;

/** A process whose memory a test sets. Sizes in MB. */
export class FakeProcess implements MemoryGauge {
  /** Objects of the heap besides those of the holders. */
  inUse = 20;
  garbage = 0;
  external = 0;
  /** Resident memory, if it is not that of heap and buffers. */
  resident: number | undefined;
  /** Number of collections of garbage, and of looks at the resident memory. */
  collections = 0;
  residentReads = 0;
  /** Names of holders that were cut. */
  readonly cut: string[] = [];
  readonly holders = new MemoryHolders();
  readonly timer: ManualTimer = createManualTimer();
  readonly lines: Record<string, unknown>[] = [];
  readonly watch: MemoryWatch;

  constructor() {
    const log: Logger = {
      ...createNoopLoggers()("memory"),
      warn: (_text, fields) => this.lines.push(fields ?? {}),
    };
    this.watch = new MemoryWatch({
      holders: this.holders,
      memoryBytes: MEMORY_LIMIT,
      timer: this.timer,
      log,
      metrics: createNoopMetrics(),
      gauge: this,
    });
    this.watch.start();
  }

  /** Adds a holder of some MB, which are freed some time after it is cut. */
  hold(
    name: string,
    keptMb: number,
    opts: Partial<MemoryHolder> & { isKept?: boolean } = {},
  ): void {
    const { isKept = false, ...fields } = opts;
    const remove = this.holders.add({
      purpose: "responses",
      keptBytes: () => keptMb * MB,
      cut: () => {
        this.cut.push(name);
        if (isKept) return;
        remove();
        this.#keptMb -= keptMb;
        this.garbage += keptMb;
      },
      ...fields,
    });
    this.#keptMb += keptMb;
  }

  #keptMb = 0;

  heap() {
    const heapMb = this.inUse + this.#keptMb + this.garbage;
    return {
      heapBytes: heapMb * MB,
      heapLimitBytes: HEAP_LIMIT,
      externalBytes: this.external * MB,
    };
  }

  residentBytes(): number {
    this.residentReads += 1;
    const { heapBytes, externalBytes } = this.heap();
    return this.resident === undefined
      ? heapBytes + externalBytes + PROGRAM_BYTES
      : this.resident * MB;
  }

  collectGarbage(): void {
    this.collections += 1;
    this.garbage = 0;
  }
}
