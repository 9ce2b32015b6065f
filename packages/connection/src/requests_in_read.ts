import type { Socket } from "node:net";

/** Counts the requests that come with one read of a connection. */
export class RequestsInRead {
  readonly #socket: Socket;
  /** Bytes that had arrived with the last request. */
  #readBytes = 0;
  #count = 0;

  constructor(socket: Socket) {
    this.#socket = socket;
  }

  /** Adds a request, and returns the number of those of this read. */
  add(): number {
    const { bytesRead } = this.#socket;
    if (bytesRead !== this.#readBytes) this.#count = 0;
    this.#readBytes = bytesRead;
    this.#count += 1;
    return this.#count;
  }
}
