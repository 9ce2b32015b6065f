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

/**
 * Converts a sibling's notice to this process's clock. Returns undefined if it
 * is not usable: siblings of other builds may be less strict.
 */
export function fromSharedNotice(
  shared: Partial<SharedNotice> | null | undefined,
  now: number,
): ReceivedNotice | undefined {
  const { upstream, startedAt, ageMs, isLeaving } = shared ?? {};
  const maxRequestsPerS = shared?.maxRequestsPerS ?? undefined;
  const isUsable = typeof upstream === "string" && isNumber(startedAt) &&
    isNumber(ageMs) && isNumber(maxRequestsPerS ?? 0);
  if (!isUsable) return undefined;
  return {
    upstream,
    startedAt,
    maxRequestsPerS,
    isLeaving: isLeaving === true,
    at: now - ageMs,
  };
}

function isNumber(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value) && value >= 0;
}
