/**
 * Connection of a caller, and what its responses say about its end.
 *
 * @module
 */
import {
  lingerAtEnd,
  RequestsInRead,
  stopReading,
} from "@toucantrestle/connection";
import type { Timer } from "@toucantrestle/timer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Call } from "./call.ts";
import { MAX_HEADER_BYTES } from "./listen.ts";

/** Idle time that a front announces while it stops. */
const STOPPING_IDLE_S = 1;
/** Time for which a request may be on its way. */
const TRANSIT_MS = 250;
/** While a front stops, an idle connection stays open for this long. */
const STOPPING_IDLE_MS = STOPPING_IDLE_S * 1_000 + TRANSIT_MS;

/** Most requests that are open on a connection, or come with one read. */
const MAX_OPEN_REQUESTS = 96;

/** More than this without a head, in bytes, is not the beginning of a request. */
const MAX_BYTES_BEFORE_HEAD = 2 * MAX_HEADER_BYTES;

const CLOSE = { connection: "close" };
const KEEP_SHORTLY = { "keep-alive": `timeout=${STOPPING_IDLE_S}` };
const UNCHANGED = {};

/** A request of a caller whose response has not been sent completely. */
export interface OpenRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly connection: CallerConnection;
  /** Whether too many requests are open on the connection. */
  readonly isExcess: boolean;
  /** Undefined until the request has been read and accepted. */
  call: Call | undefined;
  /** Called once, when the response is sent or the connection has closed. */
  onClose: (() => void) | undefined;
}

/** What all connections of a front have in common. */
export interface ConnectionPolicy {
  /** Whether the front stops, so that connections end soon. */
  isStopping: boolean;
  /** Time for which an idle connection stays open, in ms. */
  idleTimeoutMs: number;
  /** Time within which the head of a request must arrive, in ms. */
  headTimeoutMs: number;
}

const openRequests = new WeakMap<ServerResponse, OpenRequest>();

/**
 * Returns the headers that announce what becomes of the connection after a
 * response. A response that `isWhole` has its entire body at hand.
 */
export function connectionHeaders(
  res: ServerResponse,
  { isWhole }: { isWhole: boolean },
): Readonly<Record<string, string>> {
  const request = openRequests.get(res);
  return request?.connection.announce(request, { isWhole }) ?? UNCHANGED;
}

/**
 * Lets the connection end after a response. Requests that arrive behind it are
 * not served. Returns false if there already is one.
 */
export function endsConnection(res: ServerResponse): boolean {
  const request = openRequests.get(res);
  return request?.connection.endAfter(request) ?? true;
}

/** Records that the request of a response has been read whole. */
export function recordRead(res: ServerResponse): void {
  openRequests.get(res)?.connection.recordRead();
}

/** Announces that the connection ends after a response, if it can. */
export function closeAfter(res: ServerResponse): void {
  if (endsConnection(res)) res.setHeader("connection", "close");
}

/** A caller's connection with its requests in the order of their arrival. */
export class CallerConnection {
  readonly socket: Socket;
  readonly #policy: ConnectionPolicy;
  readonly #timer: Timer;
  readonly #open: OpenRequest[] = [];
  readonly #inRead: RequestsInRead;
  /** Whether requests that arrive from now on are not served. */
  #isClosing = false;
  /** Whether the connection is not read any more. */
  #isUnread = false;
  /** Status line of the response to bytes that are no request. */
  #errorStatus: string | undefined;
  #hasRequests = false;
  /** Bytes that had arrived when the last request was complete. */
  #readBytes = 0;
  /** Idle timeout that the last response announces, in ms. */
  #announcedIdleMs = 0;
  /** Since when nothing is open; kept while the front stops. */
  #idleSince: number;
  /** When the front found the beginning of a request on an idle connection. */
  #partSeenAt: number | undefined;

  constructor(
    socket: Socket,
    opts: { policy: ConnectionPolicy; timer: Timer },
  ) {
    this.socket = socket;
    this.#policy = opts.policy;
    this.#timer = opts.timer;
    this.#inRead = new RequestsInRead(socket);
    this.#idleSince = opts.policy.isStopping ? this.#now() : -Infinity;
    socket.on("close", () => this.#removeAll());
  }

  /** Requests whose responses have not been sent completely, in order. */
  get open(): readonly OpenRequest[] {
    return this.#open;
  }

  /** Takes a request; undefined if the connection ends before its response. */
  add(req: IncomingMessage, res: ServerResponse): OpenRequest | undefined {
    if (this.#isClosing) {
      this.#endUnread(req);
      return undefined;
    }
    const request: OpenRequest = {
      req,
      res,
      connection: this,
      isExcess: this.#inRead.add() > MAX_OPEN_REQUESTS ||
        this.#open.length >= MAX_OPEN_REQUESTS,
      call: undefined,
      onClose: undefined,
    };
    openRequests.set(res, request);
    this.#open.push(request);
    this.#hasRequests = true;
    this.#announcedIdleMs = this.#policy.idleTimeoutMs;
    this.recordRead();
    res.once("close", () => this.#remove(request));
    return request;
  }

  /**
   * Bytes that are kept of a request whose head has not arrived whole, on an idle
   * connection. The parser rejects longer heads, and drops blank lines before one.
   */
  get headBytes(): number {
    return Math.min(MAX_HEADER_BYTES, this.#bytesBeforeHead);
  }

  /** Ends a connection that brings blank lines in place of a request. */
  endIfHeadless(): void {
    if (this.#bytesBeforeHead <= MAX_BYTES_BEFORE_HEAD) return;
    this.endWithError("400 Bad Request");
  }

  get #bytesBeforeHead(): number {
    const isIdle = this.#open.length === 0 && !this.#isClosing;
    if (!isIdle || this.socket.destroyed) return 0;
    return this.socket.bytesRead - this.#readBytes;
  }

  /** Records that what has arrived belongs to requests, as far as known. */
  recordRead(): void {
    this.#readBytes = this.socket.bytesRead;
    this.#partSeenAt = undefined;
  }

  /** See `connectionHeaders`. */
  announce(
    request: OpenRequest,
    { isWhole }: { isWhole: boolean },
  ): Readonly<Record<string, string>> {
    const isUnchanged = !this.#policy.isStopping || this.#isClosing ||
      !keepsOpen(request.req);
    if (isUnchanged) return UNCHANGED;
    const isOnly = this.#open.length === 1 && this.#open[0] === request;
    if (!isWhole || !isOnly || this.#isPartlyRead) return KEEP_SHORTLY;
    this.#isClosing = true;
    return CLOSE;
  }

  /** See `endsConnection`. */
  endAfter(request: OpenRequest): boolean {
    if (this.#open.at(-1) !== request) return false;
    this.#isClosing = true;
    if (!request.req.complete) this.#endUnread(request.req);
    return true;
  }

  /**
   * Answers bytes that are no request, after the requests before them, and ends
   * the connection.
   */
  endWithError(status: string): void {
    if (this.#isClosing) return;
    this.#isClosing = true;
    this.#errorStatus = status;
    lingerAtEnd(this.socket, this.#timer);
    if (this.#open.length === 0) this.#sendError();
  }

  /** Lets an idle connection stay open for the timeout now in force. */
  extendIdleTimeout(): void {
    const isIdle = this.#hasRequests && this.#open.length === 0;
    if (isIdle) this.socket.setTimeout(this.#policy.idleTimeoutMs);
  }

  /**
   * Ends the connection of a stopping front if nothing is open, nothing has
   * partly arrived and what was announced has passed.
   */
  endIfIdle(): void {
    if (this.#open.length > 0) return;
    const now = this.#now();
    if (now - this.#idleSince < STOPPING_IDLE_MS) return;
    if (this.#isPartlyRead) {
      this.#partSeenAt ??= now;
      if (now - this.#partSeenAt < this.#policy.headTimeoutMs) return;
    }
    // A request that crosses this stays unread, so that it can be sent again.
    this.socket.destroy();
  }

  /** Ends the connection after the responses before a request not served. */
  #endUnread(req: IncomingMessage): void {
    stopReading(req);
    if (!this.#isUnread) lingerAtEnd(this.socket, this.#timer);
    this.#isUnread = true;
  }

  #now(): number {
    return this.#timer.monotonicNow();
  }

  get #isPartlyRead(): boolean {
    return this.socket.bytesRead > this.#readBytes;
  }

  #remove(request: OpenRequest): void {
    const index = this.#open.indexOf(request);
    if (index < 0) return;
    this.#open.splice(index, 1);
    request.onClose?.();
    if (this.#open.length === 0 && !this.socket.destroyed) this.#onIdle();
  }

  #onIdle(): void {
    if (this.#errorStatus !== undefined) return this.#sendError();
    if (this.#policy.isStopping) this.#idleSince = this.#now();
    // The server library applies the timeout of now, not the announced one.
    if (this.#announcedIdleMs > this.#policy.idleTimeoutMs) {
      this.socket.setTimeout(this.#announcedIdleMs);
    }
  }

  #sendError(): void {
    this.socket.write(
      `HTTP/1.1 ${this.#errorStatus}\r\nConnection: close\r\n\r\n`,
    );
    this.socket.destroySoon();
  }

  /** The server library reports the end of the first response only. */
  #removeAll(): void {
    for (const it of [...this.#open]) this.#remove(it);
  }
}

/** Whether a caller expects that its connection stays open. */
function keepsOpen({ httpVersion, headers }: IncomingMessage): boolean {
  return httpVersion === "1.1" && headers.connection?.toLowerCase() !== "close";
}
