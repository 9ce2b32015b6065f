import {
  createProgramId,
  hash32,
  hash64,
  SHARD_COUNT,
} from "@toucantrestle/membership";
import { randomBytes } from "node:crypto";

/**
 * Id of the program that a caller starts under a request id. It is the same on
 * every daemon, so that a repeated start finds the first one.
 */
export function programOfRequest(caller: string, requestId: string): string {
  const text = `${caller}\n${requestId}`;
  return createProgramId(hash32(text) % SHARD_COUNT, hash64(text).toString(36));
}

/** A new program id in one of the given shards, or in any if there are none. */
export function newProgramId(shards: number[]): string {
  const random = randomBytes(10);
  const pick = random.readUInt32BE(0);
  const shard = shards[pick % shards.length] ?? pick % SHARD_COUNT;
  return createProgramId(shard, random.readBigUInt64BE(2).toString(36));
}
