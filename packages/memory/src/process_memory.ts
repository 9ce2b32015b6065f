import { readFileSync } from "node:fs";
import process from "node:process";
import { getHeapStatistics, setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Memory of the runtime's heap, in bytes. */
export interface HeapMemory {
  /** Objects of the heap, with those that are garbage already. */
  heapBytes: number;
  /** Size of the heap beyond which the process ends. */
  heapLimitBytes: number;
  /** Memory outside the heap that belongs to its objects, such as buffers. */
  externalBytes: number;
}

/** Memory of this process as the runtime and the system see it, in bytes. */
export interface MeasuredMemory extends HeapMemory {
  /**
   * Resident memory of the process, without the pages of files if the system
   * tells them apart.
   */
  residentBytes: number;
}

/** Measures the memory of a process. */
export interface MemoryGauge {
  heap(): HeapMemory;
  /** Returns the resident memory, in bytes. Reads a file of the system. */
  residentBytes(): number;
  /** Frees what is garbage, so that the heap shows what is in use. */
  collectGarbage(): void;
}

const STATUS_FILE = "/proc/self/status";
const ANONYMOUS_LINE = /^RssAnon:\s*(\d+) kB$/m;
const BYTES_PER_KB = 1_024;

/** Measures the memory of this process. */
export const processMemory: MemoryGauge = {
  heap: measureHeap,
  residentBytes: measureResident,
  collectGarbage,
};

/** Measures the memory of this process. Reads one file of the system. */
export function measureMemory(
  gauge: MemoryGauge = processMemory,
): MeasuredMemory {
  return { ...gauge.heap(), residentBytes: gauge.residentBytes() };
}

function measureHeap(): HeapMemory {
  const heap = getHeapStatistics();
  return {
    heapBytes: heap.used_heap_size,
    heapLimitBytes: heap.heap_size_limit,
    externalBytes: heap.external_memory,
  };
}

function measureResident(): number {
  try {
    const line = ANONYMOUS_LINE.exec(readFileSync(STATUS_FILE, "latin1"));
    if (line) return BYTES_PER_KB * Number(line[1]);
  } catch {
    // Not every system has this file.
  }
  return process.memoryUsage.rss();
}

let collect: (() => void) | undefined;

function collectGarbage(): void {
  collect ??= exposeCollector();
  collect();
}

/** The flag is unset again: code caches are bound to the flags in force. */
function exposeCollector(): () => void {
  setFlagsFromString("--expose-gc");
  const gc = runInNewContext("gc") as () => void;
  setFlagsFromString("--no-expose-gc");
  return gc;
}
