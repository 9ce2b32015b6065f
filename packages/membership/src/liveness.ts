/** What a daemon can observe of a sibling. */
export interface Evidence {
  /** The sibling's lease stands in the platform's service. */
  hasLease: boolean;
  /** This daemon's view of the platform's service is fresh. */
  storeReachable: boolean;
  /** Milliseconds since this daemon last heard from the sibling. */
  silentMs: number;
  /** Another sibling has heard from it lately. */
  heardByOthers: boolean;
}

/** Silence after which a sibling counts as unreachable. */
export const SILENCE_LIMIT_MS = 1_500;

/**
 * Decides whether a daemon may be replaced: only when its lease has lapsed and
 * its siblings cannot reach it either. A lapsed lease alone moves nothing.
 */
export function isReplaceable(evidence: Evidence): boolean {
  if (!evidence.storeReachable || evidence.hasLease) return false;
  return evidence.silentMs >= SILENCE_LIMIT_MS && !evidence.heardByOthers;
}
