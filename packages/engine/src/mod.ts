/**
 * Client of a model engine: completions, streams, resume, control paths.
 *
 * @module
 */
export type {
  CompletionCall,
  CompletionDelta,
  CompletionEnd,
} from "./completion.ts";
export { StreamParser } from "./stream_parser.ts";
export {
  type CacheEvent,
  EngineClient,
  type EngineOrder,
  type EngineReport,
  isBrokenOff,
} from "./engine_client.ts";
