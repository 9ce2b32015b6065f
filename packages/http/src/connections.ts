import { lingerAtEnd } from "@toucantrestle/connection";
import { readArrived, type Timer } from "@toucantrestle/timer";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { isLeftUnread } from "./unread_body.ts";

/** Event of a server that hands out a connection that carries requests. */
export type ConnectionEvent = "connection" | "secureConnection";

/** Most requests of one connection that are open at the same time. */
export const MAX_OPEN_REQUESTS = 100;

/**
 * The connections of a server with the responses that are due on each. A server
 * that drains closes a connection after the last of them has been sent, and one
 * whose caller has sent more than is read ends after the last response.
 */
export class Connections {
  readonly #timer: Timer;
  readonly #due = new Map<Socket, ServerResponse[]>();
  /** Connections on which no further request is taken. */
  readonly #ending = new WeakSet<Socket>();
  /** Connections with bytes that are not read any more. */
  readonly #unread = new WeakSet<Socket>();
  /** Connections that are paused in the next turn of the event loop. */
  readonly #pausing = new WeakSet<Socket>();
  /** Connections whose last response is sent. */
  readonly #lingering = new WeakSet<Socket>();
  #isDraining = false;
  #onDrained: () => void = () => {};

  constructor(
    server: Server,
    { event, timer }: { event: ConnectionEvent; timer: Timer },
  ) {
    this.#timer = timer;
    server.on(event, (socket: Socket) => this.#add(socket));
  }

  /**
   * Adds the response that is due to a request. Returns false if it could not be
   * sent any more: the request must not be run.
   */
  take(req: IncomingMessage, res: ServerResponse): boolean {
    const { socket } = req;
    const due = this.#due.get(socket);
    if (!due) return false;
    if (this.#ending.has(socket)) {
      this.#stopReading(socket);
      return false;
    }
    due.push(res);
    res.once("finish", () => {
      if (isLeftUnread(req)) this.#linger(socket);
    });
    res.on("close", () => this.#remove(socket, res));
    const isFull = due.length >= MAX_OPEN_REQUESTS;
    if (this.#isDraining || isFull) this.#announceEnd(due);
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
    const destroySoon = socket.destroySoon.bind(socket);
    // The server calls it after a response that announces the end.
    socket.destroySoon = () => {
      const isUnread = this.#unread.has(socket) || this.#isLastUnread(socket);
      if (isUnread) this.#linger(socket);
      else destroySoon();
    };
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

  #isLastUnread(socket: Socket): boolean {
    const last = this.#due.get(socket)?.at(-1);
    return last !== undefined && isLeftUnread(last.req);
  }

  /** Requests that are not taken wait in the kernel, for the end. */
  #stopReading(socket: Socket): void {
    this.#unread.add(socket);
    this.#pause(socket);
  }

  /** The server resumes a connection after each request that it has parsed. */
  #pause(socket: Socket): void {
    if (this.#pausing.has(socket)) return;
    this.#pausing.add(socket);
    setImmediate(() => {
      this.#pausing.delete(socket);
      socket.pause();
    });
  }

  /** Ends a connection so that its caller can still read the responses. */
  #linger(socket: Socket): void {
    if (this.#lingering.has(socket)) return;
    this.#lingering.add(socket);
    this.#ending.add(socket);
    lingerAtEnd(socket, this.#timer);
    socket.destroySoon();
  }

  #checkDrained(): void {
    if (this.#isDraining && this.#due.size === 0) this.#onDrained();
  }
}
