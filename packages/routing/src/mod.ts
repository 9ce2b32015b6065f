/**
 * Route matching, upstream registration entries, upstream selection, and the
 * rules for retrying or refusing a request. Performs no I/O; the current time
 * is passed in as an argument.
 *
 * @module
 */
export { setNewest } from "@toucantrestle/policy";
export type {
  EngineInfo,
  Route,
  RouteKind,
  RoutingConfig,
  ServiceInfo,
} from "./config.ts";
export { chooseService, findRoute, type RouteMatch } from "./route_table.ts";
export {
  isSameProcess,
  isUpstreamEntry,
  processKey,
  type UpstreamEntry,
  type UpstreamProcess,
} from "./upstream_entry.ts";
export {
  type ReportedLoad,
  type TrackedUpstream,
  type UpstreamLoad,
  UpstreamRegistry,
} from "./upstream_registry.ts";
export {
  type PermitKind,
  type PermitRequest,
  RateLimiter,
} from "./rate_limiter.ts";
export {
  type NoticeChange,
  type ReceivedNotice,
  type UpstreamNotice,
  UpstreamNotices,
} from "./upstream_notices.ts";
export { PrefixIndex, type PromptPart } from "./prefix_index.ts";
export {
  type ChooserInput,
  type ChooserName,
  CHOOSERS,
  closestCandidates,
  expectedFinishMs,
} from "./choose_upstream.ts";
export { type Mechanism, MECHANISMS, parseMechanisms } from "./mechanism.ts";
export {
  type CrashReport,
  CrashTracker,
  QUARANTINE_CRASHES,
  type SuccessReport,
} from "./crash_tracker.ts";
export {
  canResumeStream,
  decideFailureAction,
  type FailureAction,
  isRetrySafe,
} from "./failure_action.ts";
export { type RefusalReason, retryAfterMs } from "./refusal.ts";
export { type UrgencyInput, urgencyOf } from "./urgency.ts";
