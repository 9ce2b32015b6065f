import type { HostRun } from "./host.ts";

/** Number of program shards. Must not change during a deployment's lifetime. */
export const SHARD_COUNT = 64;

/** Identifies a journal. Each takeover and each rotation starts a new one. */
export interface LogId {
  epoch: number;
  generation: number;
}

/** A journal and the daemons that hold replicas of its unflushed tail. */
export interface ShardLog extends LogId {
  holders: HostRun[];
}

/** Record of a shard as stored in the platform's key-value service. */
export interface ShardRecord {
  shard: number;
  epoch: number;
  owner: HostRun;
  log: ShardLog;
  /** Number of the first chunk that has not been superseded. */
  firstChunk: number;
  /** Whether the shard was recovered without a quorum of holders. */
  lossy: boolean;
  /** Unique id of the write that produced this record. */
  writeId: string;
}

const PROGRAM_ID = /^p([0-9a-f]{2})-[0-9a-z]{1,40}$/;

/** Builds the id of a program that belongs to `shard`. */
export function createProgramId(shard: number, suffix: string): string {
  return `p${shard.toString(16).padStart(2, "0")}-${suffix}`;
}

/** Returns the shard that a program id encodes; undefined if malformed. */
export function shardOfProgram(program: string): number | undefined {
  const match = PROGRAM_ID.exec(program);
  if (!match?.[1]) return undefined;
  const shard = parseInt(match[1], 16);
  return shard < SHARD_COUNT ? shard : undefined;
}

/** Compares two journals of a shard by age; negative if `a` is older. */
export function compareLogIds(a: LogId, b: LogId): number {
  return a.epoch - b.epoch || a.generation - b.generation;
}

/** Returns how many of `holders` must acknowledge a record to commit it. */
export function appendQuorum(holders: number): number {
  return Math.min(2, holders);
}

/**
 * Returns how many of `holders` must be sealed so that every committed record
 * is on at least one of them.
 */
export function sealQuorum(holders: number): number {
  return holders === 0 ? 0 : holders - appendQuorum(holders) + 1;
}
