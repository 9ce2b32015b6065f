import type { View } from "@toucantrestle/turn_log";

/**
 * Returns the ids of the members that query the status of all others: the first
 * reachable ones in the order of ids. The first of all proposes views. One more
 * than the number of disks that may fail at the same time, so that one that
 * knows all states is left whenever the view may change.
 */
export function chooseWatchers(
  { members, tolerate }: View,
  isReachable: (id: string) => boolean,
): Set<string> {
  const ids = members.map((it) => it.id).filter(isReachable).sort();
  return new Set(ids.slice(0, tolerate + 1));
}
