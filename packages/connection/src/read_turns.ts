import type { IncomingMessage } from "node:http";
import { pauseReading, resumeReading } from "./pause.ts";

/**
 * Lets one request at a time be read on in each turn of the event loop. The
 * runtime reads a connection up to 32 times in one turn, each time 64 KB, which
 * may be ten thousand tiny pieces of a body.
 */
export class ReadTurns {
  /** Requests in the order of their turns. */
  readonly #waiting = new Set<IncomingMessage>();
  #isScheduled = false;

  /** Pauses a connection after the read in progress until it is its turn. */
  defer(req: IncomingMessage): void {
    pauseReading(req);
    this.#waiting.add(req);
    this.#schedule();
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => this.#resumeFirst());
  }

  #resumeFirst(): void {
    this.#isScheduled = false;
    for (const req of this.#waiting) {
      this.#waiting.delete(req);
      resumeReading(req);
      break;
    }
    if (this.#waiting.size > 0) this.#schedule();
  }
}
