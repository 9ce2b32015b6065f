/** A stored value, kept exactly as the client sent it. */
export interface StoredValue {
  value: string;
  /** Revision of the last write to the key. */
  modRevision: number;
  /** Id of the lease that the key is attached to. */
  lease: string | undefined;
}

/** A change to one key. */
export interface StoreChange {
  type: "PUT" | "DELETE";
  key: string;
  value: string;
  revision: number;
}

interface Lease {
  ttlMs: number;
  expiresAt: number;
}

/** Receives all changes of one revision, or the backlog on subscription. */
export type ChangeListener = (changes: StoreChange[]) => void;

const RETAINED_CHANGES = 10_000;

/**
 * In-memory state of the key-value service: keys, leases and recent changes.
 */
export class StoreModel {
  revision = 1;
  readonly #values = new Map<string, StoredValue>();
  readonly #leases = new Map<string, Lease>();
  readonly #listeners = new Set<ChangeListener>();
  #history: StoreChange[] = [];
  #nextLease = 1_000;

  /**
   * Returns the entries from `from` to `to` (exclusive), or just that of
   * `from`.
   */
  range(from: string, to: string | undefined): [string, StoredValue][] {
    if (to === undefined) {
      const value = this.#values.get(from);
      return value ? [[from, value]] : [];
    }
    const entries = [...this.#values]
      .filter(([key]) => key >= from && key < to);
    return entries.sort(([a], [b]) => a < b ? -1 : 1);
  }

  /**
   * Returns the revision of the last write to a key, 0 if the key is absent.
   */
  modRevision(key: string): number {
    return this.#values.get(key)?.modRevision ?? 0;
  }

  /** Applies deletes, then puts, atomically under one revision. */
  applyWrites(
    puts: { key: string; value: string; lease: string | undefined }[],
    deletes: { from: string; to: string | undefined }[],
  ): void {
    const revision = this.revision + 1;
    const changes: StoreChange[] = [];
    for (const range of deletes) {
      for (const [key] of this.range(range.from, range.to)) {
        this.#values.delete(key);
        changes.push({ type: "DELETE", key, value: "", revision });
      }
    }
    for (const { key, value, lease } of puts) {
      this.#values.set(key, { value, modRevision: revision, lease });
      changes.push({ type: "PUT", key, value, revision });
    }
    if (changes.length > 0) this.#publish(changes, revision);
  }

  grantLease(ttlMs: number, now: number): string {
    const id = String(this.#nextLease++);
    this.#leases.set(id, { ttlMs, expiresAt: now + ttlMs });
    return id;
  }

  /** Renews a lease. Returns its time to live in ms, or 0 if it has expired. */
  renewLease(id: string, now: number): number {
    const lease = this.#leases.get(id);
    if (!lease) return 0;
    lease.expiresAt = now + lease.ttlMs;
    return lease.ttlMs;
  }

  hasLease(id: string): boolean {
    return this.#leases.has(id);
  }

  revokeLease(id: string): void {
    this.#leases.delete(id);
    const keys = [...this.#values]
      .filter(([, value]) => value.lease === id)
      .map(([key]) => ({ from: key, to: undefined }));
    if (keys.length > 0) this.applyWrites([], keys);
  }

  /** Revokes expired leases and deletes their keys. */
  expireLeases(now: number): void {
    for (const [id, lease] of this.#leases) {
      if (lease.expiresAt <= now) this.revokeLease(id);
    }
  }

  /**
   * Delivers retained changes from a revision on, then all later changes.
   *
   * @returns function that ends the subscription
   */
  subscribe(fromRevision: number, listener: ChangeListener): () => void {
    const backlog = this.#history.filter((it) => it.revision >= fromRevision);
    if (backlog.length > 0) listener(backlog);
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #publish(changes: StoreChange[], revision: number): void {
    this.revision = revision;
    this.#history.push(...changes);
    if (this.#history.length > 2 * RETAINED_CHANGES) {
      this.#history = this.#history.slice(-RETAINED_CHANGES);
    }
    for (const listener of this.#listeners) listener(changes);
  }
}
