/** A value of the store. Keys and values are kept as they came. */
export interface StoredValue {
  value: string;
  modRevision: number;
  lease: string | undefined;
}

/** A change of one key. */
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

/** Called with all changes of one revision. */
export type ChangeListener = (changes: StoreChange[]) => void;

const HISTORY_KEPT = 10_000;

/** State of the key-value service: keys, leases, and recent changes. */
export class StoreModel {
  revision = 1;
  readonly #values = new Map<string, StoredValue>();
  readonly #leases = new Map<string, Lease>();
  readonly #listeners = new Set<ChangeListener>();
  #history: StoreChange[] = [];
  #nextLease = 1_000;

  /** Keys from `from` to `to` (excluded), or just `from`. */
  range(from: string, to: string | undefined): [string, StoredValue][] {
    if (to === undefined) {
      const value = this.#values.get(from);
      return value ? [[from, value]] : [];
    }
    const found = [...this.#values]
      .filter(([key]) => key >= from && key < to);
    return found.sort(([a], [b]) => a < b ? -1 : 1);
  }

  /** Revision of a key, 0 where it is absent. */
  modRevision(key: string): number {
    return this.#values.get(key)?.modRevision ?? 0;
  }

  /** Makes several writes under one revision. */
  write(
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

  /** Renews a lease. Returns its time to live in ms, 0 when it lapsed. */
  keepLease(id: string, now: number): number {
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
    if (keys.length > 0) this.write([], keys);
  }

  /** Drops lapsed leases with their keys. */
  expire(now: number): void {
    for (const [id, lease] of this.#leases) {
      if (lease.expiresAt <= now) this.revokeLease(id);
    }
  }

  /** Changes since a revision, and all later ones through the listener. */
  subscribe(fromRevision: number, listener: ChangeListener): () => void {
    const missed = this.#history.filter((it) => it.revision >= fromRevision);
    if (missed.length > 0) listener(missed);
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #publish(changes: StoreChange[], revision: number): void {
    this.revision = revision;
    this.#history.push(...changes);
    if (this.#history.length > 2 * HISTORY_KEPT) {
      this.#history = this.#history.slice(-HISTORY_KEPT);
    }
    for (const listener of this.#listeners) listener(changes);
  }
}
