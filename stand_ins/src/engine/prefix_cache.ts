/** A cache change. Sequence numbers are consecutive. */
export interface CacheChange {
  seq: number;
  kind: "stored" | "evicted";
  key: string;
  /** Tokens cached for the key after the change. */
  tokens: number;
}

interface CacheEntry {
  /** Cached tokens that a later prompt can reuse. */
  tokens: number;
  /** Tokens held by running sequences in addition to `tokens`. */
  activeTokens: number;
  runningSequences: number;
  lastUsedAt: number;
}

/** Called on every cache change. */
export type ChangeListener = (change: CacheChange) => void;

/**
 * Prefix cache of limited size that holds the longest prefix of each program.
 * Evicts the least recently used program, never one with a running sequence.
 */
export class PrefixCache {
  readonly limitTokens: number;
  usedTokens = 0;
  /** Tokens evicted since the engine started. */
  evictedTokens = 0;
  readonly #entries = new Map<string, CacheEntry>();
  #seq = 0;
  #listener: ChangeListener | undefined;

  constructor(limitTokens: number) {
    this.limitTokens = limitTokens;
  }

  /** Sets the change listener; replaces any previous one. */
  onChange(listener: ChangeListener): void {
    this.#listener = listener;
  }

  /** Returns the keys of all entries. */
  keys(): string[] {
    return [...this.#entries.keys()];
  }

  /** Returns the number of cached tokens that a prompt of `key` can reuse. */
  cachedTokens(key: string): number {
    return this.#entries.get(key)?.tokens ?? 0;
  }

  /**
   * Allocates memory for a sequence and evicts other programs if necessary.
   *
   * @returns number of prompt tokens served from the cache
   */
  startSequence(
    key: string,
    opts: { promptTokens: number; totalTokens: number; now: number },
  ): number {
    const entry = this.#getOrCreateEntry(key);
    const hit = Math.min(entry.tokens, Math.max(0, opts.promptTokens - 1));
    const extra = Math.max(0, opts.totalTokens - entry.tokens);
    entry.runningSequences += 1;
    entry.lastUsedAt = opts.now;
    entry.activeTokens += extra;
    this.usedTokens += extra;
    this.#evict();
    return hit;
  }

  /** Ends a sequence and keeps its first `tokens` tokens cached for reuse. */
  finishSequence(key: string, tokens: number): void {
    const entry = this.#getOrCreateEntry(key);
    entry.runningSequences = Math.max(0, entry.runningSequences - 1);
    this.usedTokens -= entry.tokens + entry.activeTokens;
    entry.tokens = Math.max(entry.tokens, tokens);
    if (entry.runningSequences === 0) entry.activeTokens = 0;
    this.usedTokens += entry.tokens + entry.activeTokens;
    this.#notify("stored", key, entry.tokens);
    this.#evict();
  }

  /** Adds tokens that another engine computed. */
  store(key: string, tokens: number, now: number): void {
    const entry = this.#getOrCreateEntry(key);
    const extra = Math.max(0, tokens - entry.tokens);
    entry.tokens += extra;
    entry.lastUsedAt = now;
    this.usedTokens += extra;
    this.#notify("stored", key, entry.tokens);
    this.#evict();
  }

  /** Frees the memory of a key unless it has a running sequence. */
  release(key: string): void {
    const entry = this.#entries.get(key);
    if (!entry || entry.runningSequences > 0) return;
    this.usedTokens -= entry.tokens + entry.activeTokens;
    this.#entries.delete(key);
    this.#notify("evicted", key, 0);
  }

  #getOrCreateEntry(key: string): CacheEntry {
    let entry = this.#entries.get(key);
    if (!entry) {
      entry = {
        tokens: 0,
        activeTokens: 0,
        runningSequences: 0,
        lastUsedAt: 0,
      };
      this.#entries.set(key, entry);
    }
    return entry;
  }

  #evict(): void {
    while (this.usedTokens > this.limitTokens) {
      const key = this.#findLeastRecentlyUsed();
      if (key === undefined) return;
      this.evictedTokens += this.cachedTokens(key);
      this.release(key);
    }
  }

  #findLeastRecentlyUsed(): string | undefined {
    let oldest: string | undefined;
    let usedAt = Infinity;
    for (const [key, entry] of this.#entries) {
      if (entry.runningSequences > 0 || entry.lastUsedAt >= usedAt) continue;
      oldest = key;
      usedAt = entry.lastUsedAt;
    }
    return oldest;
  }

  #notify(kind: CacheChange["kind"], key: string, tokens: number): void {
    this.#seq += 1;
    this.#listener?.({ seq: this.#seq, kind, key, tokens });
  }
}
