/**
 * Assigns program shards to daemons, tracks the replication of shard journals,
 * and recovers a journal after a takeover. Pure logic without I/O.
 *
 * @module
 */
export type { HostRecord, HostRun, HostState } from "./host.ts";
export {
  appendQuorum,
  compareLogIds,
  createProgramId,
  type LogId,
  sealQuorum,
  SHARD_COUNT,
  type ShardLog,
  shardOfProgram,
  type ShardRecord,
} from "./shard.ts";
export { hash32, hash64, rankByRendezvous } from "./rendezvous.ts";
export {
  chooseHolders,
  chooseLinkTargets,
  DEFAULT_TAIL_COPIES,
  preferredOwner,
  toHostRun,
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
export {
  isReplaceable,
  type LivenessEvidence,
  SILENCE_LIMIT_MS,
} from "./liveness.ts";
export { pacedIntervalMs } from "./pacing.ts";
