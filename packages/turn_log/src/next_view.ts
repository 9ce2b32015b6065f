import type { ReplicaHost, View } from "./view.ts";

/** What one member believes about a host that keeps records. */
export interface HostState {
  host: ReplicaHost;
  /** True while its link answers. */
  isReachable: boolean;
  /** Ms since it was last reached; Infinity when it never was. */
  silentMs: number;
  /** True when it has copied all that the current view asks of it. */
  isComplete: boolean;
  /** True when an operator wants it emptied. */
  isRetiring: boolean;
}

/** Inputs of the decision on the next view. */
export interface ViewInput {
  current: View;
  /** All registered hosts, members or not. */
  hosts: HostState[];
}

/** An unreachable member is replaced by a newcomer after this long. */
const REPLACE_AFTER_MS = 1_500;
/** An unreachable member is dropped after this long where enough remain. */
const DROP_AFTER_MS = 3_000;

/**
 * The view to move to, or undefined to stay. Members leave when they retire,
 * when their disk was emptied, or when they are unreachable while a new host
 * has come or enough others remain. Nothing moves while a reachable member
 * still copies.
 */
export function decideView(input: ViewInput): View | undefined {
  const { current, hosts } = input;
  const memberIds = new Set(current.members.map((it) => it.id));
  const newcomers = hosts.filter((it) =>
    !memberIds.has(it.host.id) && it.isReachable && !it.isRetiring
  );
  const fates = current.members.map((it) => fateOf(it, hosts, newcomers));
  if (fates.includes("copies")) return undefined;
  const lost = fates.filter((it) => it !== "stays" && it !== "retires");
  if (lost.length > current.tolerate) return undefined;
  const settled = fates.filter((it) => it === "stays").length +
    newcomers.length;
  const leaving: Fate[] = ["retires", "emptied"];
  if (newcomers.length > 0) leaving.push("silent", "long_silent");
  if (settled >= 2 * current.tolerate + 1) leaving.push("long_silent");
  const stays = current.members.filter((_, i) =>
    !leaving.includes(fates[i] as Fate)
  );
  const isSame = newcomers.length === 0 &&
    stays.length === current.members.length;
  const members = [...stays, ...newcomers.map((it) => it.host)];
  if (isSame || members.length <= current.tolerate) return undefined;
  return {
    ...current,
    number: current.number + 1,
    members,
    former: current.members,
  };
}

/** What is to become of a member. */
type Fate =
  | "stays"
  | "retires"
  /** It is reachable and still copies. */
  | "copies"
  /** Its host is back with another disk. */
  | "emptied"
  /** It is unreachable, for a short time, for long, or for very long. */
  | "lost"
  | "silent"
  | "long_silent";

function fateOf(
  member: ReplicaHost,
  hosts: HostState[],
  newcomers: HostState[],
): Fate {
  const state = hosts.find((it) => it.host.id === member.id);
  if (newcomers.some((it) => it.host.host === member.host)) return "emptied";
  if (!state?.isReachable) {
    const silentMs = state?.silentMs ?? Infinity;
    if (silentMs > DROP_AFTER_MS) return "long_silent";
    return silentMs > REPLACE_AFTER_MS ? "silent" : "lost";
  }
  if (!state.isComplete) return "copies";
  return state.isRetiring ? "retires" : "stays";
}
