import type { Logger } from "@toucantrestle/log";
import type { Timer } from "@toucantrestle/timer";

/** An upstream's invalid entries are logged once in this time. */
const LOG_INTERVAL_MS = 10_000;
/** Keys of other writers may be long. */
const MAX_LOGGED_KEY_LENGTH = 100;

/** Logs invalid entries of upstreams, rarely enough for one that writes often. */
export class InvalidEntryLog {
  readonly #timer: Timer;
  readonly #log: Logger;
  readonly #loggedAt = new Map<string, number>();

  constructor(opts: { timer: Timer; log: Logger }) {
    this.#timer = opts.timer;
    this.#log = opts.log;
  }

  /** Logs that the entry with this key is invalid. */
  report(key: string): void {
    const now = this.#timer.monotonicNow();
    for (const [logged, at] of this.#loggedAt) {
      if (now - at < LOG_INTERVAL_MS) break;
      this.#loggedAt.delete(logged);
    }
    if (this.#loggedAt.has(key)) return;
    this.#loggedAt.set(key, now);
    const name = JSON.stringify(key.slice(0, MAX_LOGGED_KEY_LENGTH));
    this.#log.warn(`upstream entry ${name} is invalid; not used`, {
      event: "invalid_entry",
    });
  }
}
