import { createHash } from "node:crypto";

/** Length of a short digest, in hexadecimal digits. */
const SHORT_LENGTH = 8;

/** Returns the SHA-256 digest of an API key. */
export function keyDigest(key: string): string {
  return createHash("sha256").update(key).digest("base64");
}

/**
 * Returns a short digest that stands for a key in logs. A key at
 * hand can be compared with it. A guessable key can be found by trial, so keys
 * must be random.
 */
export function shortKeyDigest(key: string): string {
  const digest = createHash("sha256").update(key).digest("hex");
  return digest.slice(0, SHORT_LENGTH);
}
