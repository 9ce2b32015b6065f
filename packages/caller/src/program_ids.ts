import {
  createProgramId,
  hash32,
  hash64,
  SHARD_COUNT,
} from "@toucantrestle/membership";
import { randomBytes } from "node:crypto";

/**
 * Derives the id of the program that a caller starts with a request id. Every
 * daemon derives the same id, which makes starting a program idempotent.
 */
export function programIdForRequest(caller: string, requestId: string): string {
  const hashInput = `${caller}\n${requestId}`;
  return createProgramId(
    hash32(hashInput) % SHARD_COUNT,
    hash64(hashInput).toString(36),
  );
}

/**
 * Generates a random program id in one of the given shards, or in any shard if
 * the list is empty.
 */
export function generateProgramId(shards: number[]): string {
  const randomBuffer = randomBytes(10);
  const randomNumber = randomBuffer.readUInt32BE(0);
  const shard = shards[randomNumber % shards.length] ??
    randomNumber % SHARD_COUNT;
  return createProgramId(shard, randomBuffer.readBigUInt64BE(2).toString(36));
}
