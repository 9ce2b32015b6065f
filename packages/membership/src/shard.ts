import type { HostRun } from "./host.ts";

/** Count of shards of programs. Fixed for the life of a deployment. */
export const SHARD_COUNT = 64;

/** Identity of a journal: a new one starts at each takeover or rotation. */
export interface LogId {
  epoch: number;
  generation: number;
}

/** The journal whose unflushed tail stands at the holders. */
export interface ShardLog extends LogId {
  holders: HostRun[];
}

/** Record of a shard in the platform's key-value service. */
export interface ShardRecord {
  shard: number;
  epoch: number;
  owner: HostRun;
  log: ShardLog;
  /** Number of the first chunk that still counts. */
  firstChunk: number;
  /** True after a recovery that could not reach enough holders. */
  lossy: boolean;
  /** Identifies the write that made this state. */
  writeId: string;
}

const PROGRAM_ID = /^p([0-9a-f]{2})-[0-9a-z]{1,40}$/;

/** Makes a program id that belongs to a shard. */
export function programId(shard: number, suffix: string): string {
  return `p${shard.toString(16).padStart(2, "0")}-${suffix}`;
}

/** Returns the shard that a program id names, if it is well formed. */
export function shardOfProgram(program: string): number | undefined {
  const match = PROGRAM_ID.exec(program);
  if (!match?.[1]) return undefined;
  const shard = parseInt(match[1], 16);
  return shard < SHARD_COUNT ? shard : undefined;
}

/** Orders two journals of a shard by age. */
export function compareLogIds(a: LogId, b: LogId): number {
  return a.epoch - b.epoch || a.generation - b.generation;
}

/** Acknowledgements that make a record kept, out of `holders`. */
export function appendQuorum(holders: number): number {
  return Math.min(2, holders);
}

/** Holders to seal so that every kept record is on one of them. */
export function sealQuorum(holders: number): number {
  return holders === 0 ? 0 : holders - appendQuorum(holders) + 1;
}
