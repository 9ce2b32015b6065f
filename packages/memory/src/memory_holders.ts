/** What memory is kept for. */
export type MemoryPurpose =
  | "request_bodies"
  | "responses"
  | "streams"
  | "reports"
  | "link_messages"
  | "store_responses";

/** What keeps memory for one peer: a body that arrives, a queue to a reader. */
export interface MemoryHolder {
  readonly purpose: MemoryPurpose;
  /** Whether what it keeps cannot be had once more. Others are cut before. */
  readonly isIrreplaceable?: boolean;
  /** Memory that is kept now, in bytes: whole blocks and entries of queues. */
  keptBytes(): number;
  /**
   * Ends what brings the bytes, because the process lacks memory. What is
   * missing cannot be cut.
   */
  cut?(): void;
}

/** Returns holders that are not worth being added one by one. */
export type HolderSource = () => Iterable<MemoryHolder>;

/** All holders of a process. They are asked now and then, not told. */
export class MemoryHolders {
  readonly #holders = new Set<MemoryHolder>();
  readonly #sources = new Set<HolderSource>();

  /** Adds a holder; the result removes it. */
  add(holder: MemoryHolder): () => void {
    this.#holders.add(holder);
    return () => {
      this.#holders.delete(holder);
    };
  }

  /** Adds a source of holders, which is asked at each look; the result removes it. */
  addSource(source: HolderSource): () => void {
    this.#sources.add(source);
    return () => {
      this.#sources.delete(source);
    };
  }

  get count(): number {
    return [...this].length;
  }

  *[Symbol.iterator](): Iterator<MemoryHolder> {
    yield* this.#holders;
    for (const source of this.#sources) yield* source();
  }

  /** Returns the memory that is kept, in bytes by purpose. */
  bytesByPurpose(): Record<MemoryPurpose, number> {
    const bytes: Record<MemoryPurpose, number> = {
      request_bodies: 0,
      responses: 0,
      streams: 0,
      reports: 0,
      link_messages: 0,
      store_responses: 0,
    };
    for (const it of this) bytes[it.purpose] += it.keptBytes();
    return bytes;
  }
}
