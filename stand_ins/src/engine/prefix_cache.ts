/** A change of the cache, numbered without gaps. */
export interface CacheChange {
  seq: number;
  kind: "stored" | "evicted";
  key: string;
  /** Tokens that are cached for the key after the change. */
  tokens: number;
}

interface Entry {
  /** Tokens that a later prompt can reuse. */
  tokens: number;
  /** Tokens that running sequences occupy beyond `tokens`. */
  busyTokens: number;
  running: number;
  usedAt: number;
}

/** Called with each change. */
export type ChangeListener = (change: CacheChange) => void;

/**
 * Prefix cache in limited memory: the longest prefix of each program, evicted
 * by age of last use, never while the program has a running sequence.
 */
export class PrefixCache {
  readonly limitTokens: number;
  usedTokens = 0;
  /** Tokens evicted since the start. */
  evictedTokens = 0;
  readonly #entries = new Map<string, Entry>();
  #seq = 0;
  #listener: ChangeListener | undefined;

  constructor(limitTokens: number) {
    this.limitTokens = limitTokens;
  }

  /** Sets the one listener for changes. */
  onChange(listener: ChangeListener): void {
    this.#listener = listener;
  }

  /** Keys that have tokens in memory. */
  keys(): string[] {
    return [...this.#entries.keys()];
  }

  /** Tokens that a prompt of `key` can reuse. */
  tokensOf(key: string): number {
    return this.#entries.get(key)?.tokens ?? 0;
  }

  /**
   * Takes memory for a sequence.
   *
   * @returns prompt tokens that need not be computed
   */
  start(
    key: string,
    opts: { promptTokens: number; totalTokens: number; now: number },
  ): number {
    const entry = this.#entry(key);
    const hit = Math.min(entry.tokens, Math.max(0, opts.promptTokens - 1));
    const extra = Math.max(0, opts.totalTokens - entry.tokens);
    entry.running += 1;
    entry.usedAt = opts.now;
    entry.busyTokens += extra;
    this.usedTokens += extra;
    this.#evict();
    return hit;
  }

  /** Ends a sequence, whose `tokens` stay for reuse. */
  finish(key: string, tokens: number): void {
    const entry = this.#entry(key);
    entry.running = Math.max(0, entry.running - 1);
    this.usedTokens -= entry.tokens + entry.busyTokens;
    entry.tokens = Math.max(entry.tokens, tokens);
    if (entry.running === 0) entry.busyTokens = 0;
    this.usedTokens += entry.tokens + entry.busyTokens;
    this.#notify("stored", key, entry.tokens);
    this.#evict();
  }

  /** Stores tokens that were computed elsewhere. */
  store(key: string, tokens: number, now: number): void {
    const entry = this.#entry(key);
    const extra = Math.max(0, tokens - entry.tokens);
    entry.tokens += extra;
    entry.usedAt = now;
    this.usedTokens += extra;
    this.#notify("stored", key, entry.tokens);
    this.#evict();
  }

  /** Frees the memory of a key without a running sequence. */
  release(key: string): void {
    const entry = this.#entries.get(key);
    if (!entry || entry.running > 0) return;
    this.usedTokens -= entry.tokens + entry.busyTokens;
    this.#entries.delete(key);
    this.#notify("evicted", key, 0);
  }

  #entry(key: string): Entry {
    let entry = this.#entries.get(key);
    if (!entry) {
      entry = { tokens: 0, busyTokens: 0, running: 0, usedAt: 0 };
      this.#entries.set(key, entry);
    }
    return entry;
  }

  #evict(): void {
    while (this.usedTokens > this.limitTokens) {
      const key = this.#oldestIdle();
      if (key === undefined) return;
      this.evictedTokens += this.tokensOf(key);
      this.release(key);
    }
  }

  #oldestIdle(): string | undefined {
    let oldest: string | undefined;
    let usedAt = Infinity;
    for (const [key, entry] of this.#entries) {
      if (entry.running > 0 || entry.usedAt >= usedAt) continue;
      oldest = key;
      usedAt = entry.usedAt;
    }
    return oldest;
  }

  #notify(kind: CacheChange["kind"], key: string, tokens: number): void {
    this.#seq += 1;
    this.#listener?.({ seq: this.#seq, kind, key, tokens });
  }
}
