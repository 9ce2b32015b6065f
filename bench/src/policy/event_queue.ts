/** An action scheduled at a simulated time in ms. */
export interface ScheduledEvent {
  at: number;
  run: () => void;
}

/** Binary min-heap of scheduled events, ordered by time. */
export class EventQueue {
  readonly #heap: ScheduledEvent[] = [];

  get size(): number {
    return this.#heap.length;
  }

  /** Schedules an action at a simulated time in ms. */
  push(at: number, run: () => void): void {
    const heap = this.#heap;
    heap.push({ at, run });
    let index = heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (this.#timeAt(parent) <= this.#timeAt(index)) break;
      this.#swap(parent, index);
      index = parent;
    }
  }

  /** Returns the time of the earliest event, or Infinity if there is none. */
  nextAt(): number {
    return this.#heap[0]?.at ?? Infinity;
  }

  /** Removes and returns the earliest event, or undefined if there is none. */
  pop(): ScheduledEvent | undefined {
    const heap = this.#heap;
    const first = heap[0];
    const last = heap.pop();
    if (!first || !last || heap.length === 0) return first;
    heap[0] = last;
    this.#siftDown();
    return first;
  }

  #siftDown(): void {
    let index = 0;
    for (;;) {
      let smallest = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        if (
          child < this.#heap.length &&
          this.#timeAt(child) < this.#timeAt(smallest)
        ) {
          smallest = child;
        }
      }
      if (smallest === index) return;
      this.#swap(smallest, index);
      index = smallest;
    }
  }

  #timeAt(index: number): number {
    return (this.#heap[index] as ScheduledEvent).at;
  }

  #swap(a: number, b: number): void {
    const previous = this.#heap[a] as ScheduledEvent;
    this.#heap[a] = this.#heap[b] as ScheduledEvent;
    this.#heap[b] = previous;
  }
}
