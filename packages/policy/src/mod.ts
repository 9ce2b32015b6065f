/**
 * Routing, queueing, shares, limits, retries and crash isolation. No I/O.
 *
 * @module
 */
export type { Decision, Work, WorkClass, WorkKind } from "./work.ts";
export {
  type LoadReport,
  type Send,
  type UpstreamInfo,
  UpstreamState,
} from "./upstream_state.ts";
export { type CacheBelief, type CacheNotice, CacheView } from "./cache_view.ts";
export {
  Dispatcher,
  type DispatchLimits,
  type WorkResult,
} from "./dispatcher.ts";
export { POLICIES, type PolicyDef, type PolicyName } from "./policies.ts";
export { RetryBudget } from "./retry_budget.ts";
export { refusalDelayMs } from "./refusal.ts";
export { Ring } from "./ring.ts";
export { IsolationQueue, type Suspect } from "./isolation_queue.ts";
export {
  type Demand,
  type Grant,
  GRANT_MS,
  ShareHolder,
  ShareLedger,
  TAKE_BACK_MS,
} from "./shares.ts";
