import type { Timer } from "@toucantrestle/timer";
import { DamagedDiskError, isNotFound } from "@toucantrestle/turn_journal";

/** Time after which records that cannot be read count as damaged, in ms. */
const LASTING_AFTER_MS = 60_000;
/** A failure counts as a new one this long after the last one, in ms. */
const FORGET_AFTER_MS = 15_000;

/**
 * Failures to read records that were left on disk. A record that is missing or
 * corrupt is damaged at once; another failure may pass, and the record counts
 * as damaged only if that goes on.
 */
export class ReadFailures {
  readonly #timer: Timer;
  #damage: DamagedDiskError | undefined;
  #listener: ((damage: DamagedDiskError) => void) | undefined;
  #firstAt = -Infinity;
  #lastAt = -Infinity;

  constructor(timer: Timer) {
    this.#timer = timer;
  }

  /** Calls `fn` once if there is damage, at once if there is already. */
  onDamage(fn: (damage: DamagedDiskError) => void): void {
    this.#listener = fn;
    if (this.#damage) fn(this.#damage);
  }

  /** Records a failure to read a record. */
  record(err: unknown): void {
    if (this.#damage) return;
    this.#damage = this.#damageOf(err);
    if (this.#damage) this.#listener?.(this.#damage);
  }

  #damageOf(err: unknown): DamagedDiskError | undefined {
    if (err instanceof DamagedDiskError) return err;
    const message = err instanceof Error ? err.message : String(err);
    if (isNotFound(err)) return new DamagedDiskError(message);
    const now = this.#timer.monotonicNow();
    if (now - this.#lastAt > FORGET_AFTER_MS) this.#firstAt = now;
    this.#lastAt = now;
    if (now - this.#firstAt < LASTING_AFTER_MS) return undefined;
    return new DamagedDiskError(`records stay unreadable: ${message}`);
  }
}
