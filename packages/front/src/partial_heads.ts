import type { MemoryHolder } from "@toucantrestle/memory";
import type { CallerConnection } from "./caller_connection.ts";

/**
 * Heads of requests that have not arrived whole, over all connections: each is
 * small, while one caller may open thousands. Made anew at each look.
 */
export class PartialHeads implements MemoryHolder {
  readonly purpose = "request_bodies";
  readonly #arriving: CallerConnection[];

  constructor(connections: Iterable<CallerConnection>) {
    this.#arriving = [...connections].filter((it) => it.headBytes > 0);
  }

  keptBytes(): number {
    return this.#arriving.reduce((sum, it) => sum + it.headBytes, 0);
  }

  /** Closes the connections with the longest; none of it has been read whole. */
  cut(): void {
    const meanBytes = this.keptBytes() / this.#arriving.length;
    const longest = this.#arriving.filter((it) => it.headBytes >= meanBytes);
    for (const { socket } of longest) socket.destroy();
  }
}
