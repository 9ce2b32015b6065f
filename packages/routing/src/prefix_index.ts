/**
 * Part of a prompt. Several sessions may share a part, except the last part of
 * a prompt, which belongs to one session.
 */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** Maximum number of upstreams tracked for a part. */
const MAX_UPSTREAMS_PER_PART = 12;
/** Maximum number of tracked parts; the least recently recorded are evicted. */
const MAX_PARTS = 20_000;

/** Tracks which prompt parts each upstream has probably cached. */
export class PrefixIndex {
  readonly #tokensByPart = new Map<string, Map<string, number>>();

  /** Records that an upstream has prefilled a prompt and cached its parts. */
  recordPrefill(upstream: string, parts: PromptPart[]): void {
    for (const { id, tokens } of parts) {
      const byUpstream = this.#tokensByPart.get(id) ??
        new Map<string, number>();
      this.#tokensByPart.delete(id);
      this.#tokensByPart.set(id, byUpstream);
      byUpstream.delete(upstream);
      byUpstream.set(upstream, tokens);
      if (byUpstream.size > MAX_UPSTREAMS_PER_PART) evictOldest(byUpstream);
    }
    while (this.#tokensByPart.size > MAX_PARTS) evictOldest(this.#tokensByPart);
  }

  /** Returns the number of prompt tokens that an upstream need not prefill. */
  cachedTokens(upstream: string, parts: PromptPart[]): number {
    let cached = 0;
    for (const { id, tokens } of parts) {
      const cachedPartTokens = this.#tokensByPart.get(id)?.get(upstream);
      if (cachedPartTokens === undefined) break;
      cached += Math.min(cachedPartTokens, tokens);
      if (cachedPartTokens < tokens) break;
    }
    return cached;
  }

  /** Removes an upstream that has exited or restarted. */
  removeUpstream(upstream: string): void {
    for (const it of this.#tokensByPart.values()) it.delete(upstream);
  }
}

function evictOldest<K>(map: Map<K, unknown>): void {
  const oldest = map.keys().next();
  if (!oldest.done) map.delete(oldest.value);
}
