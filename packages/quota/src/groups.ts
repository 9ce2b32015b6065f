import { hash32, rankByRendezvous } from "@toucantrestle/membership";

/**
 * Groups of organisations; each has one allocator. With one group, a request
 * that must ask renews the leases of all organisations, which takes about a
 * quarter fewer messages than two groups in the model of 69 fronts.
 */
export const GROUP_COUNT = 1;

/** Returns the group of an organisation. */
export function groupOf(organisation: string): number {
  return hash32(organisation) % GROUP_COUNT;
}

/** Returns the front that is the allocator of a group; undefined without any. */
export function allocatorOf(
  group: number,
  fronts: string[],
): string | undefined {
  return rankByRendezvous(`quota/${group}`, fronts)[0];
}
