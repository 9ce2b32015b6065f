import type { MeasuredMemory } from "./process_memory.ts";

/** Memory in use, as parts of what may be used. */
export interface MemoryFill {
  /** The largest of the parts below. */
  most: number;
  heap: number;
  /** Heap and buffers, of the memory limit of the process. */
  objects: number;
  /** Resident memory, of the memory limit of the process. */
  resident: number;
}

/** Part of the memory limit for heap and buffers; the program has the rest. */
const OBJECTS_SHARE = 0.75;
/** Part of the memory limit for resident memory without pages of files. */
const RESIDENT_SHARE = 0.85;

/** Compares the memory in use with the limits of the process. */
export function memoryFill(
  memory: MeasuredMemory,
  memoryBytes: number,
): MemoryFill {
  const { heapBytes, heapLimitBytes, externalBytes, residentBytes } = memory;
  const heap = heapBytes / heapLimitBytes;
  const objects = (heapBytes + externalBytes) / (OBJECTS_SHARE * memoryBytes);
  const resident = residentBytes / (RESIDENT_SHARE * memoryBytes);
  return { most: Math.max(heap, objects, resident), heap, objects, resident };
}

/** Returns heap and buffers beyond a part of what may be used, in bytes. */
export function excessBytes(
  memory: MeasuredMemory,
  { memoryBytes, part }: { memoryBytes: number; part: number },
): number {
  const { heapBytes, heapLimitBytes, externalBytes } = memory;
  return Math.max(
    0,
    heapBytes - part * heapLimitBytes,
    heapBytes + externalBytes - part * OBJECTS_SHARE * memoryBytes,
  );
}
