/**
 * Memory that a process keeps for its peers.
 *
 * @module
 */
export { ByteCollector } from "./byte_collector.ts";
export type { ByteCollectorOptions } from "./byte_collector.ts";
export { fitsJsonBounds } from "./json_bounds.ts";
export type { JsonBounds } from "./json_bounds.ts";
export { MemoryHolders } from "./memory_holders.ts";
export type {
  HolderSource,
  MemoryHolder,
  MemoryPurpose,
} from "./memory_holders.ts";
export { measureMemory, processMemory } from "./process_memory.ts";
export type {
  HeapMemory,
  MeasuredMemory,
  MemoryGauge,
} from "./process_memory.ts";
export { MemoryWatch } from "./memory_watch.ts";
export type { MemoryWatchOptions } from "./memory_watch.ts";
export {
  type CollectedHeaders,
  type CollectedResponse,
  collectResponse,
  type CollectResponseOptions,
  MemoryCutError,
  type RequestControl,
  type ResponseHandler,
  ResponseTooLargeError,
} from "./collect_response.ts";
export {
  type ParseJsonOptions,
  parseJsonText,
  TooManyValuesError,
} from "./parse_json.ts";
