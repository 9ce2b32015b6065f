import xxhash from "xxhash-wasm";

const hasher = await xxhash();

/** 64-bit hash of a text. */
export function hash64(text: string): bigint {
  return hasher.h64(text);
}

/** 32-bit hash of a text. */
export function hash32(text: string): number {
  return hasher.h32(text);
}

/**
 * Orders `names` by rendezvous hashing for `key`, best first. Thaler and
 * Ravishankar, "Using name-based mappings to increase hit rates", 1998.
 */
export function rankByRendezvous(key: string, names: string[]): string[] {
  const scored = names.map((name) => ({
    name,
    score: hasher.h32(`${key}/${name}`),
  }));
  scored.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1));
  return scored.map((it) => it.name);
}
