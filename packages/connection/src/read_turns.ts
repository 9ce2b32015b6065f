import type { Socket } from "node:net";
import { holdReading, releaseReading } from "./pause.ts";
import { Turns } from "./turns.ts";

/**
 * Lets one connection at a time be read on in each turn of the event loop. The
 * runtime reads a connection up to 32 times in one turn, each time 64 KB, which
 * may be ten thousand tiny pieces of a body.
 */
export class ReadTurns {
  readonly #turns = new Turns();
  readonly #waiting = new Set<Socket>();

  /** Pauses a connection after the read in progress until it is its turn. */
  defer(socket: Socket): void {
    holdReading(socket);
    if (this.#waiting.has(socket)) return;
    this.#waiting.add(socket);
    this.#turns.add(() => {
      this.#waiting.delete(socket);
      releaseReading(socket);
    });
  }
}
