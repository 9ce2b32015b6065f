/**
 * Which daemon owns which shard, how its journal is replicated, and how a
 * successor recovers it. No I/O.
 *
 * @module
 */
export type { HostRecord, HostRun, HostState } from "./host.ts";
export {
  appendQuorum,
  compareLogIds,
  type LogId,
  programId,
  sealQuorum,
  SHARD_COUNT,
  type ShardLog,
  shardOfProgram,
  type ShardRecord,
} from "./shard.ts";
export { hash32, hash64, rankByRendezvous } from "./rendezvous.ts";
export {
  chooseHolders,
  DEFAULT_TAIL_COPIES,
  linkTargets,
  preferredOwner,
  runOf,
} from "./assignment.ts";
export {
  type AppendInput,
  type AppendResult,
  type Tail,
  TailStore,
} from "./tail_store.ts";
export { CommitTracker } from "./commit_tracker.ts";
export {
  hasSealQuorum,
  type RecoveredJournal,
  recoverJournal,
  type SealReply,
} from "./recovery.ts";
export { type Evidence, isReplaceable, SILENCE_LIMIT_MS } from "./liveness.ts";
export { pacedIntervalMs } from "./pacing.ts";
