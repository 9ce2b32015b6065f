/** Something that happens at a time. */
export interface Scheduled {
  at: number;
  run: () => void;
}

/** Binary heap of what happens next. */
export class EventQueue {
  readonly #heap: Scheduled[] = [];

  get size(): number {
    return this.#heap.length;
  }

  push(at: number, run: () => void): void {
    const heap = this.#heap;
    heap.push({ at, run });
    let index = heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (this.#at(parent) <= this.#at(index)) break;
      this.#swap(parent, index);
      index = parent;
    }
  }

  /** Time of the next event, or Infinity. */
  nextAt(): number {
    return this.#heap[0]?.at ?? Infinity;
  }

  pop(): Scheduled | undefined {
    const heap = this.#heap;
    const first = heap[0];
    const last = heap.pop();
    if (!first || !last || heap.length === 0) return first;
    heap[0] = last;
    this.#sink();
    return first;
  }

  #sink(): void {
    let index = 0;
    for (;;) {
      let least = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        if (child < this.#heap.length && this.#at(child) < this.#at(least)) {
          least = child;
        }
      }
      if (least === index) return;
      this.#swap(least, index);
      index = least;
    }
  }

  #at(index: number): number {
    return (this.#heap[index] as Scheduled).at;
  }

  #swap(a: number, b: number): void {
    const held = this.#heap[a] as Scheduled;
    this.#heap[a] = this.#heap[b] as Scheduled;
    this.#heap[b] = held;
  }
}
