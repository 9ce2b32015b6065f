import type { ReplicaHost, View } from "./view.ts";

/** State of a replica host as one member observes it. */
export interface HostState {
  host: ReplicaHost;
  /** Whether its link responds. */
  isReachable: boolean;
  /** Time since it was last reached, in ms; Infinity if it never was. */
  silentMs: number;
  /** Whether it has copied all records that the current view assigns to it. */
  isComplete: boolean;
  /** Whether an operator is retiring the host. */
  isRetiring: boolean;
}

/** Input of the decision on the next view. */
export interface ViewInput {
  current: View;
  /** All registered hosts, including those that are not members. */
  hosts: HostState[];
}

/** An unreachable member is replaced by a new host after this time. */
const REPLACE_AFTER_MS = 1_500;
/**
 * An unreachable member is removed without a replacement after this time if
 * enough members remain.
 */
const DROP_AFTER_MS = 3_000;

/**
 * Returns the next view, or undefined to keep the current one. A member is
 * removed when it retires, when its disk was emptied, or when it is unreachable
 * and either a new host is available or enough other members remain. The view
 * does not change while a reachable member is still copying records.
 */
export function decideNextView(input: ViewInput): View | undefined {
  const { current, hosts } = input;
  const memberIds = new Set(current.members.map((it) => it.id));
  const newHosts = hosts.filter((it) =>
    !memberIds.has(it.host.id) && it.isReachable && !it.isRetiring
  );
  const statuses = current.members.map((it) => statusOf(it, hosts, newHosts));
  if (statuses.includes("copies")) return undefined;
  const unavailable = statuses.filter((it) =>
    it !== "stays" && it !== "retires"
  );
  if (unavailable.length > current.tolerate) return undefined;
  const availableCount = statuses.filter((it) => it === "stays").length +
    newHosts.length;
  const removed: MemberStatus[] = ["retires", "emptied"];
  if (newHosts.length > 0) removed.push("silent", "long_silent");
  if (availableCount >= 2 * current.tolerate + 1) removed.push("long_silent");
  const remaining = current.members.filter((_, i) =>
    !removed.includes(statuses[i] as MemberStatus)
  );
  const isUnchanged = newHosts.length === 0 &&
    remaining.length === current.members.length;
  const members = [...remaining, ...newHosts.map((it) => it.host)];
  if (isUnchanged || members.length <= current.tolerate) return undefined;
  return {
    ...current,
    number: current.number + 1,
    members,
    former: current.members,
  };
}

/** Status of a member in the decision on the next view. */
type MemberStatus =
  | "stays"
  | "retires"
  /** It is reachable and still copying records. */
  | "copies"
  /** Its host has returned with an emptied disk. */
  | "emptied"
  /**
   * It is unreachable: for less than the replacement time, for less than the
   * removal time, or for longer.
   */
  | "lost"
  | "silent"
  | "long_silent";

function statusOf(
  member: ReplicaHost,
  hosts: HostState[],
  newHosts: HostState[],
): MemberStatus {
  const state = hosts.find((it) => it.host.id === member.id);
  if (newHosts.some((it) => it.host.host === member.host)) return "emptied";
  if (!state?.isReachable) {
    const silentMs = state?.silentMs ?? Infinity;
    if (silentMs > DROP_AFTER_MS) return "long_silent";
    return silentMs > REPLACE_AFTER_MS ? "silent" : "lost";
  }
  if (!state.isComplete) return "copies";
  return state.isRetiring ? "retires" : "stays";
}
