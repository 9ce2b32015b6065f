/**
 * Quotas of organisations over all fronts. An allocator per group of
 * organisations leases tokens to the fronts. Performs no I/O.
 *
 * @module
 */
export { QuotaAllocator, type QuotaAllocatorOptions } from "./allocator.ts";
export {
  capacityOf,
  DEFAULT_BOUNDS,
  HANDOVER_MS,
  LEASE_MS,
  maxInWindow,
  type Quota,
  type QuotaBounds,
} from "./bounds.ts";
export { allocatorOf, GROUP_COUNT, groupOf } from "./groups.ts";
export type { Clocks } from "./held_lease.ts";
export {
  type Admission,
  type Decision,
  LeaseHolder,
  type LeaseHolderOptions,
  type LimitedOrganisation,
} from "./lease_holder.ts";
export type {
  QuotaDemand,
  QuotaGrant,
  QuotaQuery,
  QuotaReply,
  RequestKind,
} from "./messages.ts";
export type { AllocationTime } from "./organisation_bucket.ts";
export { Reserve, type ReserveOptions } from "./reserve.ts";
export { SteadyFraction } from "./steady_fraction.ts";
