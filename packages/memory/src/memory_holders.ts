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
  /** Memory that is kept now, in bytes: whole blocks and entries of queues. */
  keptBytes(): number;
  /**
   * Ends what brings the bytes, because the process lacks memory. What is
   * missing cannot be cut.
   */
  cut?(): void;
}

/** All holders of a process. They are asked now and then, not told. */
export class MemoryHolders {
  readonly #holders = new Set<MemoryHolder>();

  /** Adds a holder; the result removes it. */
  add(holder: MemoryHolder): () => void {
    this.#holders.add(holder);
    return () => {
      this.#holders.delete(holder);
    };
  }

  get count(): number {
    return this.#holders.size;
  }

  [Symbol.iterator](): Iterator<MemoryHolder> {
    return this.#holders.values();
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
    for (const it of this.#holders) bytes[it.purpose] += it.keptBytes();
    return bytes;
  }
}
