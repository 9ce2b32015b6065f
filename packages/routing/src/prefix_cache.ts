/** A part of a prompt: parts are shared, the last one is the session's own. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** Upstreams that are remembered for a part. */
const MAX_HOLDERS = 12;
/** Parts that are remembered; the oldest are forgotten first. */
const MAX_PARTS = 20_000;

/** Which parts of prompts upstreams are believed to have cached. */
export class PrefixCache {
  readonly #holders = new Map<string, Map<string, number>>();

  /** Notes that an upstream has read a prompt: all its parts are cached. */
  note(upstream: string, parts: PromptPart[]): void {
    for (const { id, tokens } of parts) {
      const holders = this.#holders.get(id) ?? new Map<string, number>();
      this.#holders.delete(id);
      this.#holders.set(id, holders);
      holders.delete(upstream);
      holders.set(upstream, tokens);
      if (holders.size > MAX_HOLDERS) dropOldest(holders);
    }
    while (this.#holders.size > MAX_PARTS) dropOldest(this.#holders);
  }

  /** Tokens at the start of a prompt that an upstream need not read again. */
  cachedTokens(upstream: string, parts: PromptPart[]): number {
    let cached = 0;
    for (const { id, tokens } of parts) {
      const held = this.#holders.get(id)?.get(upstream);
      if (held === undefined) break;
      cached += Math.min(held, tokens);
      if (held < tokens) break;
    }
    return cached;
  }

  /** Forgets an upstream that is gone or started again. */
  forget(upstream: string): void {
    for (const holders of this.#holders.values()) holders.delete(upstream);
  }
}

function dropOldest<K>(map: Map<K, unknown>): void {
  const oldest = map.keys().next();
  if (!oldest.done) map.delete(oldest.value);
}
