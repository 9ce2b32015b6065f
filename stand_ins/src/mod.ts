/**
 * Models of the stand-ins as a library, and the harness that starts daemons
 * and stand-ins as processes on loopback.
 *
 * @module
 */
export {
  DEFAULT_ENGINE_PARAMS,
  type EngineEvent,
  type EngineJob,
  type EngineLoad,
  EngineModel,
  type EngineParams,
  type RunningJob,
} from "./engine/engine_model.ts";
export { type CacheChange, PrefixCache } from "./engine/prefix_cache.ts";
export { type ManagedProcess, startProcess } from "./harness/process.ts";
export {
  type DaemonMember,
  type DaemonSpec,
  Fleet,
  type FleetSpec,
  type Member,
  OPERATOR_KEY,
  postJson,
  type UpstreamSpec,
  waitForHealth,
  waitUntilDaemonReady,
} from "./harness/fleet.ts";
export { expectedAnswer, type PromptMessage } from "./engine/text.ts";
