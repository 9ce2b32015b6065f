import { hash64 } from "@toucantrestle/membership";
import { setNewest } from "@toucantrestle/routing";

/** Longer keys are kept as their hash, in characters. */
const MAX_KEY_LENGTH = 128;
/** Most programs that are remembered. */
const MAX_PROGRAMS = 5_000;
/** A program without a request for this long is not in progress, in ms. */
const KEEP_MS = 120_000;

/** Programs of which this front has admitted a request recently. */
export class RecentPrograms {
  /** Time of the last request by key, oldest first. */
  readonly #lastAt = new Map<string, number>();

  /** `key` names the program and its organisation. */
  add(key: string, now: number): void {
    setNewest(this.#lastAt, [toKept(key), now], MAX_PROGRAMS);
  }

  has(key: string, now: number): boolean {
    return now - (this.#lastAt.get(toKept(key)) ?? -Infinity) < KEEP_MS;
  }
}

/** A caller chooses the id of its program, of any length. */
function toKept(key: string): string {
  return key.length <= MAX_KEY_LENGTH ? key : hash64(key).toString(36);
}
