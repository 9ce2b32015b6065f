/**
 * Routing, queueing, shares of limits, retry budgets and crash isolation.
 * Performs no I/O.
 *
 * @module
 */
export type { Decision, WorkClass, WorkItem, WorkKind } from "./work.ts";
export {
  type LoadReport,
  type SentCall,
  type UpstreamInfo,
  UpstreamState,
} from "./upstream_state.ts";
export { setNewest } from "./bounded_map.ts";
export {
  type CacheEstimate,
  type CacheEvent,
  CacheView,
} from "./cache_view.ts";
export {
  Dispatcher,
  type DispatchLimits,
  type WorkResult,
} from "./dispatcher.ts";
export { POLICIES, type PolicyDef, type PolicyName } from "./policies.ts";
export { SpeedEstimate, type SpeedSample } from "./speed_estimate.ts";
export { RetryBudget } from "./retry_budget.ts";
export { refusalDelayMs } from "./refusal.ts";
export { HashRing } from "./hash_ring.ts";
export { IsolationQueue, type Suspect } from "./isolation_queue.ts";
export {
  type Demand,
  type Grant,
  GRANT_TTL_MS,
  RECLAIM_DELAY_MS,
  ShareAllocator,
  ShareHolder,
} from "./shares.ts";
export { type Refill, TokenBucket } from "./token_bucket.ts";
