import type { Socket } from "node:net";
import { holdReading, releaseReading } from "./pause.ts";

/**
 * Lets one connection at a time be read on in each turn of the event loop. The
 * runtime reads a connection up to 32 times in one turn, each time 64 KB, which
 * may be ten thousand tiny pieces of a body.
 */
export class ReadTurns {
  /** Connections in the order of their turns. */
  readonly #waiting = new Set<Socket>();
  #isScheduled = false;

  /** Pauses a connection after the read in progress until it is its turn. */
  defer(socket: Socket): void {
    holdReading(socket);
    this.#waiting.add(socket);
    this.#schedule();
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => this.#resumeFirst());
  }

  #resumeFirst(): void {
    this.#isScheduled = false;
    for (const socket of this.#waiting) {
      this.#waiting.delete(socket);
      releaseReading(socket);
      break;
    }
    if (this.#waiting.size > 0) this.#schedule();
  }
}
