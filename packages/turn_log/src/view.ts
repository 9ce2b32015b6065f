import { rankByRendezvous } from "@toucantrestle/membership";

/** Host that stores records. With an emptied disk it counts as another one. */
export interface ReplicaHost {
  /** Identity of the disk contents. */
  id: string;
  /** Name of the host. */
  host: string;
  /** Address on which its link listens. */
  address: string;
  dataCentre: string;
}

/** Agreed set of the hosts that store records. */
export interface View {
  number: number;
  /** Number of disks that may be lost at the same time without data loss. */
  tolerate: number;
  members: ReplicaHost[];
  /** Members of the previous view, from which records are copied. */
  former: ReplicaHost[];
}

/** Returns the number of members that must store a record to commit it. */
export function quorumSize(view: View): number {
  return Math.min(view.tolerate + 1, view.members.length);
}

/** Returns the members that store the records of a key, by descending rank. */
export function replicasOf(view: View, key: string): ReplicaHost[] {
  const byId = new Map(view.members.map((it) => [it.id, it]));
  const count = 2 * view.tolerate + 1;
  return rankByRendezvous(key, [...byId.keys()])
    .slice(0, count)
    .map((id) => byId.get(id) as ReplicaHost);
}
