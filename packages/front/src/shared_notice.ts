import type { ReceivedNotice } from "@toucantrestle/routing";

/** A notice for a sibling, whose monotonic clock is another one. */
export type SharedNotice = Omit<ReceivedNotice, "at"> & {
  /** Time since the response with the notice was received, in ms. */
  ageMs: number;
};

/** Converts a notice for sending. */
export function toSharedNotice(
  { at, ...notice }: ReceivedNotice,
  now: number,
): SharedNotice {
  return { ...notice, ageMs: Math.max(0, now - at) };
}

/** Converts a sibling's notice to this process's clock. */
export function fromSharedNotice(
  { ageMs, ...notice }: SharedNotice,
  now: number,
): ReceivedNotice {
  return { ...notice, at: now - ageMs };
}
