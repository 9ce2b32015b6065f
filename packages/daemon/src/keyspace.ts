/**
 * Keys in the platform's key-value service. Everything below `META` is
 * watched by every daemon; chunks and edits are read when they are needed.
 */
export const META = "/toucantrestle/meta/";

/** Prefix of the registrations of daemons. */
export const HOSTS = `${META}hosts/`;

/** Prefix of the records of shards. */
export const SHARDS = `${META}shards/`;

/** Prefix of the hashed keys of callers, operators and siblings. */
export const KEYS = `${META}keys/`;

/** Prefix of the requests that are known to crash upstreams. */
export const CONVICTIONS = `${META}convictions/`;

/** Key of the operators' table. */
export const TABLE = `${META}table`;

/** Prefix of the history of edits. */
export const EDITS = "/toucantrestle/edits/";

const CHUNKS = "/toucantrestle/chunks/";
const SHARD_DIGITS = 2;
const NUMBER_DIGITS = 12;

/** Key of a shard's record. */
export function shardKey(shard: number): string {
  return SHARDS + shardName(shard);
}

/** Prefix of a shard's chunks. */
export function chunkPrefix(shard: number): string {
  return `${CHUNKS}${shardName(shard)}/`;
}

/** Key of one chunk of a shard's journal. */
export function chunkKey(shard: number, chunk: number): string {
  return chunkPrefix(shard) + padded(chunk);
}

/** Number of a chunk by its key. */
export function chunkOfKey(key: string): number {
  return Number(key.slice(key.lastIndexOf("/") + 1));
}

/** Key of an edit in the history. */
export function editKey(revision: number): string {
  return EDITS + padded(revision);
}

function shardName(shard: number): string {
  return String(shard).padStart(SHARD_DIGITS, "0");
}

function padded(value: number): string {
  return String(value).padStart(NUMBER_DIGITS, "0");
}
