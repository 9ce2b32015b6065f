import { type Timer, toRuntimeDelayMs } from "@toucantrestle/timer";
import type { MemoryHolder } from "@toucantrestle/memory";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import {
  CallerConnection,
  type ConnectionPolicy,
  type OpenRequest,
} from "./caller_connection.ts";
import { PartialHeads } from "./partial_heads.ts";

/** The server library's defaults, until there is a configuration. */
const DEFAULT_IDLE_TIMEOUT_MS = 5_000;
const DEFAULT_HEAD_TIMEOUT_MS = 60_000;

/** The server library adds to timeouts, which have to stay below 2^31 ms. */
const MAX_TIMEOUT_MS = 86_400_000;
/** The server library takes 0 for no timeout. */
const MIN_TIMEOUT_MS = 1;

/** Connections of the callers of a front. */
export class CallerConnections {
  readonly #connections = new Map<Socket, CallerConnection>();
  readonly #policy: ConnectionPolicy = {
    isStopping: false,
    idleTimeoutMs: DEFAULT_IDLE_TIMEOUT_MS,
    headTimeoutMs: DEFAULT_HEAD_TIMEOUT_MS,
  };
  readonly #server: Server;

  constructor({ server, timer }: { server: Server; timer: Timer }) {
    this.#server = server;
    const opts = { policy: this.#policy, timer };
    server.on("connection", (socket: Socket) => {
      this.#connections.set(socket, new CallerConnection(socket, opts));
      socket.on("close", () => this.#connections.delete(socket));
    });
  }

  /** Number of open connections. */
  get count(): number {
    return this.#connections.size;
  }

  /** Requests whose responses have not been sent completely. */
  get openRequests(): OpenRequest[] {
    return [...this.#connections.values()].flatMap((it) => it.open);
  }

  /** Returns what is kept of requests whose heads have not arrived whole. */
  *heldForHeads(): Iterable<MemoryHolder> {
    yield new PartialHeads(this.#connections.values());
  }

  /** Ends the connections that bring no request, but blank lines. */
  endHeadless(): void {
    for (const it of this.#connections.values()) it.endIfHeadless();
  }

  /** Takes a request; undefined if its connection ends before its response. */
  add(req: IncomingMessage, res: ServerResponse): OpenRequest | undefined {
    return this.#connections.get(req.socket)?.add(req, res);
  }

  of(socket: Socket): CallerConnection | undefined {
    return this.#connections.get(socket);
  }

  /**
   * Sets the timeouts of idle connections and of heads, in ms. A higher timeout
   * holds for connections that are idle already.
   */
  setTimeouts(opts: { idleTimeoutMs: number; headTimeoutMs: number }): void {
    const idleTimeoutMs = toTimeoutMs(opts.idleTimeoutMs);
    const headTimeoutMs = toTimeoutMs(opts.headTimeoutMs);
    const isHigher = idleTimeoutMs > this.#policy.idleTimeoutMs;
    Object.assign(this.#policy, { idleTimeoutMs, headTimeoutMs });
    this.#server.headersTimeout = headTimeoutMs;
    this.#server.keepAliveTimeout = idleTimeoutMs;
    if (!isHigher) return;
    for (const it of this.#connections.values()) it.extendIdleTimeout();
  }

  /** From now on responses announce that connections end soon. */
  startStopping(): void {
    this.#policy.isStopping = true;
  }

  /** Ends the connections that are idle, of a front that stops. */
  endIdle(): void {
    for (const it of this.#connections.values()) it.endIfIdle();
  }
}

/** Returns a timeout that the server library takes, in whole ms. */
function toTimeoutMs(ms: number): number {
  const wholeMs = Math.min(MAX_TIMEOUT_MS, toRuntimeDelayMs(ms));
  return Math.max(MIN_TIMEOUT_MS, wholeMs);
}
