/**
 * Which hosts there are and which of them keep records. Both lie in the
 * platform's store; siblings are asked while it cannot be reached.
 *
 * @module
 */
export { replicaHostOf } from "./host_entry.ts";
export { Fleet, type FleetOptions, type FleetSnapshot } from "./fleet.ts";
export type { HostEntry, HostRole } from "./host_entry.ts";
