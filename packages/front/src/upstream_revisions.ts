import { setNewest } from "@toucantrestle/routing";

/** Revisions of the store at which an upstream was seen. */
interface SeenRevisions {
  /** Revision of the newest known entry; 0 if there was none. */
  entry: number;
  /** Newest revision at which the entry was seen, or seen to be absent. */
  newest: number;
}

/** Upstreams whose revisions are kept; siblings may name any. */
const MAX_UPSTREAMS = 20_000;
const NEVER_SEEN: SeenRevisions = { entry: 0, newest: 0 };

/**
 * Orders what is heard of upstreams, whoever says it, by the store's revisions.
 * A deletion or a list that lacks an entry proves that all earlier entries are
 * gone.
 */
export class UpstreamRevisions {
  readonly #seen = new Map<string, SeenRevisions>();

  /** Newest revision at which something is known of an upstream; 0 if none. */
  newest(id: string): number {
    return this.#of(id).newest;
  }

  /** Revision of the newest known entry of an upstream; 0 if none. */
  entry(id: string): number {
    return this.#of(id).entry;
  }

  /** Records an entry. Returns whether nothing as new was known. */
  recordEntry(id: string, revision: number): boolean {
    if (!isRevision(revision) || revision <= this.#of(id).newest) return false;
    this.#set(id, { entry: revision, newest: revision });
    return true;
  }

  /**
   * Records that there is no entry at a revision. Returns whether this proves
   * that the newest known entry is gone.
   */
  recordAbsence(id: string, revision: number): boolean {
    const { entry, newest } = this.#of(id);
    if (!isRevision(revision) || revision < entry) return false;
    this.#set(id, { entry, newest: Math.max(newest, revision) });
    return true;
  }

  #set(id: string, seen: SeenRevisions): void {
    setNewest(this.#seen, [id, seen], MAX_UPSTREAMS);
  }

  #of(id: string): SeenRevisions {
    return this.#seen.get(id) ?? NEVER_SEEN;
  }
}

/** A sibling's message may hold anything. */
function isRevision(value: number): boolean {
  return Number.isSafeInteger(value) && value > 0;
}
