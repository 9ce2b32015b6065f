/** A suspect that wants to run alone. Times in ms since the epoch. */
export interface Suspect {
  fingerprint: string;
  /** Start of the try in which its engine crashed. */
  startedAt: number;
}

/** A suspect's place in the queue. */
interface Entry extends Suspect {
  grant: () => void;
  enteredAt: number;
}

/** Suspects of one crash are gathered for this long before the first runs. */
const GATHER_MS = 150;
/** A suspect that does not say how its run ended gives up its turn. */
const TURN_LIMIT_MS = 15_000;

/**
 * Lets suspects run one at a time over the whole fleet, so that a crash during
 * a turn convicts exactly one of them. The one that was started last before
 * the crash goes first: engines mostly crash on what is new to them.
 */
export class IsolationQueue {
  #waiting: Entry[] = [];
  #active: { fingerprint: string; since: number } | undefined;

  /** Suspects that wait. */
  get waiting(): number {
    return this.#waiting.length;
  }

  /** Adds a suspect; `grant` is called when it may run. */
  enter(suspect: Suspect, opts: { now: number; grant: () => void }): void {
    this.#waiting.push({
      ...suspect,
      grant: opts.grant,
      enteredAt: opts.now,
    });
  }

  /** Ends the turn of a suspect. */
  leave(fingerprint: string): void {
    if (this.#active?.fingerprint === fingerprint) this.#active = undefined;
  }

  /** The crash was explained: all others may run as usual. */
  clear(): void {
    const freed = this.#waiting;
    this.#waiting = [];
    this.#active = undefined;
    for (const entry of freed) entry.grant();
  }

  /** Grants the next turn when it is due. */
  poll(now: number): void {
    if (this.#active && now - this.#active.since >= TURN_LIMIT_MS) {
      this.#active = undefined;
    }
    if (this.#active || this.#waiting.length === 0) return;
    const oldest = Math.min(...this.#waiting.map((it) => it.enteredAt));
    if (now - oldest < GATHER_MS) return;
    this.#waiting.sort((a, b) => b.startedAt - a.startedAt);
    const next = this.#waiting.shift() as Entry;
    this.#active = { fingerprint: next.fingerprint, since: now };
    next.grant();
  }
}
