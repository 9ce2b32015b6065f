import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Event of a server that hands out a connection that carries requests. */
export type ConnectionEvent = "connection" | "secureConnection";

/**
 * The connections of a server with the responses that are due on each. A server
 * that drains closes a connection after the last of them has been sent.
 */
export class Connections {
  readonly #due = new Map<Socket, ServerResponse[]>();
  /** Connections on which no further request is taken. */
  readonly #ending = new WeakSet<Socket>();
  #isDraining = false;
  #onDrained: () => void = () => {};

  constructor(server: Server, event: ConnectionEvent) {
    server.on(event, (socket: Socket) => this.#add(socket));
  }

  /**
   * Adds the response that is due to a request. Returns false if it could not be
   * sent any more: the request must not be run.
   */
  take({ socket }: IncomingMessage, res: ServerResponse): boolean {
    const due = this.#due.get(socket);
    if (!due || this.#ending.has(socket)) return false;
    due.push(res);
    res.on("close", () => this.#remove(socket, res));
    if (this.#isDraining) this.#announceEnd(due);
    return true;
  }

  /** Resolves once all due responses are sent and all connections closed. */
  async drain(): Promise<void> {
    this.#isDraining = true;
    const drained = new Promise<void>((resolve) => this.#onDrained = resolve);
    for (const due of this.#due.values()) this.#announceEnd(due);
    await readArrived();
    for (const [socket, due] of this.#due) {
      if (due.length === 0) this.#end(socket);
    }
    this.#checkDrained();
    await drained;
  }

  #add(socket: Socket): void {
    this.#due.set(socket, []);
    socket.once("close", () => {
      this.#due.delete(socket);
      this.#checkDrained();
    });
    if (this.#isDraining) this.#end(socket);
  }

  #remove(socket: Socket, res: ServerResponse): void {
    const due = this.#due.get(socket) ?? [];
    due.splice(due.indexOf(res), 1);
    if (this.#isDraining && due.length === 0) this.#end(socket);
  }

  /** Says with the last response, if it can, that the connection ends. */
  #announceEnd(due: ServerResponse[]): void {
    const last = due.at(-1);
    if (!last || last.headersSent) return;
    last.setHeader("connection", "close");
    this.#ending.add(last.req.socket);
  }

  /** Closes a connection after what has been written to it. */
  #end(socket: Socket): void {
    this.#ending.add(socket);
    socket.destroySoon();
  }

  #checkDrained(): void {
    if (this.#isDraining && this.#due.size === 0) this.#onDrained();
  }
}

/**
 * Resolves once all that has arrived is read: the turn of the event loop that
 * begins after the present one has passed.
 */
async function readArrived(): Promise<void> {
  for (let i = 0; i < 2; i++) {
    await new Promise<void>((resolve) => setImmediate(resolve));
  }
}
