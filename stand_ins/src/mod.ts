/**
 * In-process models of the engine stand-in, and the harness that starts daemons
 * and stand-ins as processes on loopback.
 *
 * @module
 */
export {
  DEFAULT_ENGINE_PARAMS,
  type EngineEvent,
  type EngineJob,
  type EngineJobState,
  type EngineLoad,
  EngineModel,
  type EngineParams,
} from "./engine/engine_model.ts";
export { type CacheChange, PrefixCache } from "./engine/prefix_cache.ts";
export { type ManagedProcess, startProcess } from "./harness/process.ts";
export { findFreePorts } from "./harness/ports.ts";
export {
  RawCaller,
  rawRequest,
  type RawRequestOptions,
  type RawResponse,
} from "./harness/raw_caller.ts";
export {
  type ClientTls,
  failToAccept,
  findServer,
  sendNoise,
} from "./harness/find_server.ts";
export { TcpProxy } from "./harness/tcp_proxy.ts";
export {
  type DaemonProcess,
  type DaemonSpec,
  Fleet,
  type FleetProcess,
  type FleetSpec,
  OPERATOR_KEY,
  postJson,
  type UpstreamSpec,
  waitUntilDaemonReady,
  waitUntilHealthy,
} from "./harness/fleet.ts";
export {
  expectedAnswer,
  type PromptMessage,
} from "./engine/text_generation.ts";
