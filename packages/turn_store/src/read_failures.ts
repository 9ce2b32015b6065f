import type { Timer } from "@toucantrestle/timer";
import { DamagedDiskError, isNotFound } from "@toucantrestle/turn_journal";

/** Time after which records that cannot be read count as damaged, in ms. */
const LASTING_AFTER_MS = 60_000;
/** A failure counts as a new one this long after the last one, in ms. */
const FORGET_AFTER_MS = 15_000;

/** Errors that say nothing of the disk: descriptors or memory lack. */
const RESOURCE_CODES: ReadonlySet<string> = new Set([
  "EAGAIN",
  "EMFILE",
  "ENFILE",
  "ENOMEM",
]);

/**
 * Failures to read records that were left on disk. A record that is missing or
 * corrupt is damaged at once; another failure of the disk may pass, and the
 * record counts as damaged only if that goes on. A lack of descriptors or of
 * memory is no damage, however long it lasts: the records are still there.
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
    if (isLackOfResources(err)) return undefined;
    const now = this.#timer.monotonicNow();
    if (now - this.#lastAt > FORGET_AFTER_MS) this.#firstAt = now;
    this.#lastAt = now;
    if (now - this.#firstAt < LASTING_AFTER_MS) return undefined;
    return new DamagedDiskError(`records stay unreadable: ${message}`);
  }
}

function isLackOfResources(err: unknown): boolean {
  const { code = "" } = err as NodeJS.ErrnoException;
  return RESOURCE_CODES.has(code);
}
