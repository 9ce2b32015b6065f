/** Observations of a daemon about the liveness of a sibling. */
export interface LivenessEvidence {
  /** Whether the sibling's lease exists in the platform's key-value service. */
  hasLease: boolean;
  /** Whether this daemon has an up-to-date view of the key-value service. */
  storeReachable: boolean;
  /** Milliseconds since this daemon last received a message from it. */
  silentMs: number;
  /** Whether another sibling has recently received a message from it. */
  isHeardByOthers: boolean;
}

/** A sibling that has sent nothing for this long counts as unreachable. */
export const SILENCE_LIMIT_MS = 1_500;

/**
 * Returns whether another daemon may take over a daemon's shards: only if its
 * lease has expired and its siblings cannot reach it either. An expired lease
 * alone does not move any shard.
 */
export function isReplaceable(evidence: LivenessEvidence): boolean {
  if (!evidence.storeReachable || evidence.hasLease) return false;
  return evidence.silentMs >= SILENCE_LIMIT_MS && !evidence.isHeardByOthers;
}
