/**
 * Service discovery: the registered hosts, and the view, which lists the turn
 * stores that hold replicas of turn records. Both are kept in the platform's
 * configuration store. While it is unreachable, they are learned from siblings.
 *
 * @module
 */
export { parseView, toReplicaHost } from "./host_entry.ts";
export { Fleet, type FleetOptions, type FleetSnapshot } from "./fleet.ts";
export type { HostEntry, HostRole } from "./host_entry.ts";
