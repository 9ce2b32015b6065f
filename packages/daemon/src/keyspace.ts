/**
 * Keys in the platform's key-value service. Every daemon watches all keys below
 * `META_PREFIX`; chunks and edits are read on demand.
 */
export const META_PREFIX = "/toucantrestle/meta/";

/** Prefix of daemon registrations. */
export const HOSTS_PREFIX = `${META_PREFIX}hosts/`;

/** Prefix of shard records. */
export const SHARDS_PREFIX = `${META_PREFIX}shards/`;

/** Prefix of the hashed keys of callers, operators and siblings. */
export const KEYS_PREFIX = `${META_PREFIX}keys/`;

/** Prefix of records of requests that are known to crash upstreams. */
export const CONVICTIONS_PREFIX = `${META_PREFIX}convictions/`;

/** Key of the operators' table. */
export const TABLE_KEY = `${META_PREFIX}table`;

/** Prefix of the edit history of the table. */
export const EDITS_PREFIX = "/toucantrestle/edits/";

const CHUNKS_PREFIX = "/toucantrestle/chunks/";
const SHARD_DIGITS = 2;
const NUMBER_DIGITS = 12;

/** Returns the key of a shard's record. */
export function shardKey(shard: number): string {
  return SHARDS_PREFIX + formatShard(shard);
}

/** Returns the key prefix of a shard's journal chunks. */
export function chunkPrefix(shard: number): string {
  return `${CHUNKS_PREFIX}${formatShard(shard)}/`;
}

/** Returns the key of one chunk of a shard's journal. */
export function chunkKey(shard: number, chunk: number): string {
  return chunkPrefix(shard) + zeroPad(chunk);
}

/** Parses the number of a chunk from its key. */
export function parseChunkNumber(key: string): number {
  return Number(key.slice(key.lastIndexOf("/") + 1));
}

/** Returns the key of an edit in the history. */
export function editKey(revision: number): string {
  return EDITS_PREFIX + zeroPad(revision);
}

function formatShard(shard: number): string {
  return String(shard).padStart(SHARD_DIGITS, "0");
}

function zeroPad(value: number): string {
  return String(value).padStart(NUMBER_DIGITS, "0");
}
