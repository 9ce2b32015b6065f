/**
 * Client of a model engine: streamed completions, resume and control API.
 *
 * @module
 */
export type {
  CompletionCall,
  CompletionDelta,
  CompletionResult,
} from "./completion.ts";
export { StreamParser } from "./stream_parser.ts";
export {
  type CacheEvent,
  EngineClient,
  type EngineClientOptions,
  type EngineLoadReport,
  type EngineOrder,
  isInterruptedCall,
} from "./engine_client.ts";
