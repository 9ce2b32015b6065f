import { hash32, rankByRendezvous } from "@toucantrestle/membership";

/** Groups of organisations; each has one allocator. */
export const GROUP_COUNT = 1;

/** Returns the group of an organisation. */
export function groupOf(organisation: string): number {
  return hash32(organisation) % GROUP_COUNT;
}

/** Returns the front that is the allocator of a group. */
export function allocatorOf(group: number, fronts: string[]): string {
  return rankByRendezvous(`quota/${group}`, fronts)[0] ?? "";
}
