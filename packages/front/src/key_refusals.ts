import type { Logger } from "@toucantrestle/log";
import type { Metrics } from "@toucantrestle/metrics";
import { shortKeyDigest } from "@toucantrestle/organisations";
import type { Timer } from "@toucantrestle/timer";
import type { ServerResponse } from "node:http";
import { sendText } from "./responses.ts";

const MAX_LINES_PER_S = 5;
const WINDOW_MS = 1_000;

/** Refuses requests without a valid API key, and logs a few of them. */
export class KeyRefusals {
  readonly #log: Logger;
  readonly #metrics: Metrics;
  readonly #timer: Timer;
  #windowStart = -Infinity;
  #loggedInWindow = 0;
  /** Refusals without a line since the last one that has one. */
  #unlogged = 0;

  constructor(opts: { log: Logger; metrics: Metrics; timer: Timer }) {
    this.#log = opts.log;
    this.#metrics = opts.metrics;
    this.#timer = opts.timer;
  }

  /** Answers 401, in the same way for a missing and an unknown key. */
  refuse(
    res: ServerResponse,
    { key, id }: { key: string | undefined; id: string | undefined },
  ): void {
    sendText(res, 401, "api key is missing or unknown", {
      "www-authenticate": "Bearer",
    });
    this.#metrics.count("keys_refused", 1);
    if (!this.#mayLog()) {
      this.#unlogged += 1;
      return;
    }
    this.#log.warn("request refused: api key is missing or unknown", {
      event: "key_refused",
      req: id,
      keyDigest: key === undefined ? "none" : shortKeyDigest(key),
      unlogged: this.#unlogged,
    });
    this.#unlogged = 0;
  }

  #mayLog(): boolean {
    const now = this.#timer.monotonicNow();
    if (now - this.#windowStart >= WINDOW_MS) {
      this.#windowStart = now;
      this.#loggedInWindow = 0;
    }
    this.#loggedInWindow += 1;
    return this.#loggedInWindow <= MAX_LINES_PER_S;
  }
}
