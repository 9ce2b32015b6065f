import { rankByRendezvous } from "@toucantrestle/membership";

/** A host that keeps records. An emptied disk makes it another one. */
export interface ReplicaHost {
  /** Identity of the disk's contents. */
  id: string;
  /** Name of the host. */
  host: string;
  /** Where its link listens. */
  address: string;
  dataCentre: string;
}

/** The agreed set of hosts that keep records. */
export interface View {
  number: number;
  /** Disks that may be lost at the same time. */
  tolerate: number;
  members: ReplicaHost[];
  /** Members of the view before, from which records are copied. */
  former: ReplicaHost[];
}

/** Members that must have a record before it counts as kept. */
export function quorumOf(view: View): number {
  return Math.min(view.tolerate + 1, view.members.length);
}

/** Members that keep the records of a key, best first. */
export function replicasOf(view: View, key: string): ReplicaHost[] {
  const byId = new Map(view.members.map((it) => [it.id, it]));
  const count = 2 * view.tolerate + 1;
  return rankByRendezvous(key, [...byId.keys()])
    .slice(0, count)
    .map((id) => byId.get(id) as ReplicaHost);
}
