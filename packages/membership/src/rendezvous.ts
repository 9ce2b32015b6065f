import xxhash from "xxhash-wasm";

const hasher = await xxhash();

/** Returns the 64-bit xxHash of a text. */
export function hash64(text: string): bigint {
  return hasher.h64(text);
}

/** Returns the 32-bit xxHash of a text. */
export function hash32(text: string): number {
  return hasher.h32(text);
}

/**
 * Returns `names` ranked by rendezvous hashing for `key`, highest score first.
 * See Thaler and Ravishankar, "Using name-based mappings to increase hit
 * rates", 1998.
 */
export function rankByRendezvous(key: string, names: string[]): string[] {
  const scored = names.map((name) => ({
    name,
    score: hasher.h32(`${key}/${name}`),
  }));
  scored.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1));
  return scored.map((it) => it.name);
}
