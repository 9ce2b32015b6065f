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

/**
 * The view to move to, or undefined to stay. Members leave when they retire,
 * when their disk was emptied, or when they are unreachable while a new host
 * has come. Nothing moves while a reachable member still copies.
 */
export function decideView(input: ViewInput): View | undefined {
  const { current, hosts } = input;
  const byId = new Map(hosts.map((it) => [it.host.id, it]));
  const memberIds = new Set(current.members.map((it) => it.id));
  const newcomers = hosts.filter((it) =>
    !memberIds.has(it.host.id) && it.isReachable && !it.isRetiring
  );
  const stays: ReplicaHost[] = [];
  let lost = 0;
  for (const member of current.members) {
    const state = byId.get(member.id);
    const isReplaced = newcomers.some((it) => it.host.host === member.host);
    const isSilent = (state?.silentMs ?? Infinity) > REPLACE_AFTER_MS;
    const isLost = !state?.isReachable;
    if (isLost) lost += 1;
    if (!isLost && !state.isComplete) return undefined;
    if (state?.isRetiring) continue;
    if (isLost && isSilent && (newcomers.length > 0 || isReplaced)) continue;
    stays.push(member);
  }
  if (lost > current.tolerate) return undefined;
  const members = [...stays, ...newcomers.map((it) => it.host)];
  if (newcomers.length === 0 && stays.length === current.members.length) {
    return undefined;
  }
  if (members.length <= current.tolerate) return undefined;
  return {
    ...current,
    number: current.number + 1,
    members,
    former: current.members,
  };
}
