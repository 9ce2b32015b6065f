/** Times of the events of one attempt. All times are in ms. */
export class EventTimes {
  readonly #startedAt: number;
  #firstAt: number | undefined;
  #lastAt = 0;
  #count = 0;

  constructor(startedAt: number) {
    this.#startedAt = startedAt;
  }

  /** Number of events. */
  get count(): number {
    return this.#count;
  }

  /** Time from the start of the attempt to the first event; 0 without one. */
  get firstEventMs(): number {
    return (this.#firstAt ?? this.#startedAt) - this.#startedAt;
  }

  /** Time from the first event to the last. */
  get decodeMs(): number {
    return this.#firstAt === undefined ? 0 : this.#lastAt - this.#firstAt;
  }

  /** Records an event that arrived at `now`. */
  record(now: number): void {
    this.#firstAt ??= now;
    this.#lastAt = now;
    this.#count += 1;
  }
}
