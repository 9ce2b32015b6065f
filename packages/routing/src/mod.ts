/**
 * Routes, upstream entries, choice of upstream, rules for retries and
 * refusals. No I/O; time comes in as an argument.
 *
 * @module
 */
export type {
  EngineInfo,
  Route,
  RouteKind,
  RoutingConfig,
  ServiceInfo,
} from "./config.ts";
export { findRoute, type RouteMatch, serviceFor } from "./route_table.ts";
export type { UpstreamEntry } from "./upstream_entry.ts";
export {
  type KnownUpstream,
  UpstreamBook,
  type UpstreamLoad,
} from "./upstream_book.ts";
export { PrefixCache, type PromptPart } from "./prefix_cache.ts";
export {
  type ChooseInput,
  type ChooserName,
  CHOOSERS,
  expectedFinishMs,
  idleOutputMs,
} from "./choose_upstream.ts";
export { CrashList } from "./crash_list.ts";
export {
  type AfterFailure,
  afterFailure,
  mayRepeat,
  mayResume,
} from "./after_failure.ts";
export { type RefusalReason, retryAfterMs } from "./refusal.ts";
export { type UrgencyInput, urgencyOf } from "./urgency.ts";
