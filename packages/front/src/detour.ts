import { Listeners, type Logger } from "@toucantrestle/log";
import { sleep, type Timer } from "@toucantrestle/timer";
import type { DirectPath } from "./direct_path.ts";

/** Options of `Detour`. */
export interface DetourOptions {
  directPath: Pick<DirectPath, "onCut" | "isSilent">;
  /** Asks a sibling whether it reaches an upstream now. */
  confirm: () => Promise<boolean>;
  timer: Timer;
  log: Logger;
}

/** Time between two questions to siblings. */
const ASK_INTERVAL_MS = 200;

/**
 * Finds a sibling that reaches upstreams while this front reaches none and hears
 * none. Only then is it of use to give up a request that has been sent: all
 * upstreams may just stand still, and will go on.
 */
export class Detour {
  readonly #opts: DetourOptions;
  readonly #listeners: Listeners;
  #isAsking = false;

  constructor(opts: DetourOptions) {
    this.#opts = opts;
    this.#listeners = new Listeners("detours", opts.log);
    opts.directPath.onCut(() => this.#ask());
  }

  /** Returns whether a sibling reaches an upstream now. */
  isOpen(): Promise<boolean> {
    return this.#opts.confirm();
  }

  /** Subscribes `fn` to finding one; returns how to unsubscribe. */
  onFound(fn: () => void): () => void {
    return this.#listeners.add(fn);
  }

  /** Asks for whoever listens, until this front reaches an upstream itself. */
  async #ask(): Promise<void> {
    const { directPath, timer } = this.#opts;
    if (this.#isAsking) return;
    this.#isAsking = true;
    while (directPath.isSilent) {
      await this.#askOnce();
      await sleep(timer, ASK_INTERVAL_MS);
    }
    this.#isAsking = false;
  }

  async #askOnce(): Promise<void> {
    const { directPath, log } = this.#opts;
    try {
      const isFound = this.#listeners.size > 0 && await this.isOpen();
      if (isFound && directPath.isSilent) this.#notify();
    } catch (err) {
      log.error(`cannot ask for a detour: ${String(err)}`);
    }
  }

  #notify(): void {
    this.#opts.log.info("requests leave for a sibling that reaches upstreams", {
      event: "detour",
      requests: this.#listeners.size,
    });
    this.#listeners.notify();
  }
}
