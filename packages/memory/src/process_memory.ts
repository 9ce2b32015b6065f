import process from "node:process";
import { getHeapStatistics } from "node:v8";

/** Memory of this process as the runtime and the system see it, in bytes. */
export interface MeasuredMemory {
  /** Objects of the heap, with those that are garbage already. */
  heapBytes: number;
  /** Size of the heap beyond which the process ends. */
  heapLimitBytes: number;
  /** Memory outside the heap that belongs to its objects, such as buffers. */
  externalBytes: number;
  /** Resident memory of the process, with pages that it shares. */
  residentBytes: number;
}

/** Measures the memory of this process. Reads one file of the system. */
export function measureMemory(): MeasuredMemory {
  const heap = getHeapStatistics();
  return {
    heapBytes: heap.used_heap_size,
    heapLimitBytes: heap.heap_size_limit,
    externalBytes: heap.external_memory,
    residentBytes: process.memoryUsage.rss(),
  };
}
