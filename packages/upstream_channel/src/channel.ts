import { ReadShare } from "@toucantrestle/connection";
import type { Logger } from "@toucantrestle/log";
import {
  readArrived,
  type Subscription,
  type Timer,
} from "@toucantrestle/timer";
import type { Socket } from "node:net";
import type { ContactListener } from "./contact.ts";
import type { Dial } from "./dial.ts";
import type {
  ChannelFailure,
  OutgoingRequest,
  ResponseHandlers,
  ResponseHead,
} from "./exchange.ts";
import { ResponseParser, type ResponsePart } from "./response_parser.ts";

/** Options of one connection. */
export interface ChannelOptions {
  address: string;
  timer: Timer;
  log: Logger;
  connectTimeoutMs: number;
  dial: Dial;
  contact: ContactListener;
  /**
   * Returns the request id that a response echoes; undefined if none. A
   * response that echoes no id, or another one, belongs to no request. Missing
   * for upstreams that do not echo ids: the next response is then taken for the
   * one that is due.
   */
  echoedRequestId?: (head: ResponseHead) => string | undefined;
  /** Whether a request that waited for the connection may still be sent. */
  maySend: () => boolean;
  /** Called once the connection is closed, before a failure is reported. */
  onClosed: (channel: Channel) => void;
  /** Called when the connection can be reused for another request. */
  onIdle: (channel: Channel) => void;
}

/** The request in flight. */
interface Exchange {
  req: OutgoingRequest;
  handlers: ResponseHandlers;
  hasDeliveredHead: boolean;
  isSent: boolean;
  /** Whether a response to another request came before its own. */
  hasSkipped: boolean;
}

/** An idle connection is not reused this shortly before its idle timeout. */
const IDLE_MARGIN_MS = 500;
/** Bytes that may arrive in a row without a byte of the awaited body. */
const MAX_BYTES_WITHOUT_BODY = 131_072;
/** A connection that has rejected this many requests is not reused. */
const MAX_REJECTED_IDS = 1_000;
/** Lowest status of a response that may be followed by another attempt. */
const MIN_REJECTION_STATUS = 300;
/** Idle timeout if the upstream announces none. */
const DEFAULT_IDLE_TIMEOUT_MS = 4_000;

/** HTTP/1.1 connection to an upstream, with at most one request in flight. */
export class Channel {
  readonly #opts: ChannelOptions;
  readonly #socket: Socket;
  readonly #connectTimeout: Subscription;
  readonly #reading: ReadShare;
  readonly #parser = new ResponseParser();
  #exchange: Exchange | undefined;
  /** True while parsing an interim response or one to an earlier request. */
  #isSkipping = false;
  #isConnected = false;
  #isClosed = false;
  #isBroken = false;
  #canKeepAlive = true;
  #idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS;
  #idleSince = 0;
  #bytesWithoutBody = 0;
  #status = 0;
  /** Requests that may be sent again, and were answered here before. */
  readonly #rejectedIds = new Set<string>();

  constructor(opts: ChannelOptions) {
    this.#opts = opts;
    const socket = opts.dial(opts.address);
    this.#socket = socket;
    this.#reading = new ReadShare({
      now: () => opts.timer.monotonicNow(),
      pause: () => socket.pause(),
      resume: () => socket.resume(),
    });
    this.#connectTimeout = opts.timer.after(
      opts.connectTimeoutMs,
      () => this.#onConnectTimeout(),
    );
    this.#socket.on("connect", () => this.#onConnect());
    this.#socket.on("data", (chunk) => this.#onData(chunk));
    this.#socket.on("end", () => this.#onEnd());
    this.#socket.on("error", (err) => this.#onError(err));
    this.#socket.on("close", () => this.#close("connection_lost"));
  }

  /** Whether a request is in flight. */
  get isBusy(): boolean {
    return this.#exchange !== undefined;
  }

  /** Whether the connection was established. */
  get isConnected(): boolean {
    return this.#isConnected;
  }

  /**
   * Whether the upstream reset or refused the connection, or ended it during a
   * request, rather than close it while idle.
   */
  get isBroken(): boolean {
    return this.#isBroken;
  }

  /** Whether the connection is open, idle and not close to its idle timeout. */
  isUsable(now: number): boolean {
    if (this.#isClosed || this.#exchange) return false;
    return now - this.#idleSince < this.#idleTimeoutMs - IDLE_MARGIN_MS;
  }

  /**
   * Whether a request with this id was rejected on this connection. The
   * upstream may send that rejection once more, which would then look like the
   * response to another attempt.
   */
  hasRejected(id: string): boolean {
    return this.#rejectedIds.has(id);
  }

  /** Sends a request. The connection must be idle or new. */
  send(req: OutgoingRequest, handlers: ResponseHandlers): void {
    this.#exchange = {
      req,
      handlers,
      hasDeliveredHead: false,
      isSent: false,
      hasSkipped: false,
    };
    this.#bytesWithoutBody = 0;
    if (this.#isConnected) this.#write();
  }

  /** Cancels the request with this id by closing its connection. */
  cancel(id: string): void {
    if (this.#exchange?.req.id === id) this.#close("cancelled");
  }

  /** Stops reading the response to the request with this id. */
  pause(id: string): void {
    if (this.#exchange?.req.id !== id) return;
    this.#reading.hold();
  }

  /** Reads the response to the request with this id again. */
  resume(id: string): void {
    if (this.#exchange?.req.id === id) this.#reading.release();
  }

  /** Closes the connection if it is not established yet. */
  closeUnconnected(): void {
    if (!this.#isConnected) this.#close("connect_timeout");
  }

  /** Closes the connection, which cancels the request in flight. */
  close(): void {
    this.#close("cancelled");
  }

  async #onConnectTimeout(): Promise<void> {
    await readArrived();
    if (!this.#isConnected) this.#close("connect_timeout");
  }

  #onConnect(): void {
    this.#connectTimeout.cancel();
    this.#isConnected = true;
    this.#opts.contact.onConnected();
    this.#idleSince = this.#opts.timer.monotonicNow();
    if (!this.#exchange) return;
    if (this.#opts.maySend()) this.#write();
    else this.#close("not_wanted");
  }

  #write(): void {
    const exchange = this.#exchange as Exchange;
    const { method, path, headers, body } = exchange.req;
    let head = `${method} ${path} HTTP/1.1\r\n`;
    for (let i = 0; i + 1 < headers.length; i += 2) {
      head += `${headers[i]}: ${headers[i + 1]}\r\n`;
    }
    exchange.isSent = true;
    this.#parser.expectResponseTo(method);
    this.#socket.cork();
    this.#socket.write(`${head}\r\n`, "latin1");
    if (body.length > 0) this.#socket.write(body);
    this.#socket.uncork();
  }

  #onData(chunk: Buffer): void {
    if (this.#isClosed) return;
    this.#reading.begin();
    this.#handle(chunk);
    if (!this.#isClosed) this.#reading.end();
  }

  #handle(chunk: Buffer): void {
    this.#opts.contact.onReceived();
    if (!this.#exchange) return this.#close("bad_answer");
    this.#bytesWithoutBody += chunk.length;
    let rest = chunk;
    while (rest.length > 0 && !this.#isClosed) rest = this.#parse(rest);
    const isEndless = this.#bytesWithoutBody > MAX_BYTES_WITHOUT_BODY;
    if (isEndless) this.#close("bad_answer");
  }

  /** Parses bytes up to the end of one response, and returns the others. */
  #parse(bytes: Buffer): Buffer {
    const { parts, rest, fault } = this.#parser.parse(bytes);
    for (const part of parts) this.#deliver(part, rest.length > 0);
    if (fault !== undefined && !this.#isClosed) this.#onMalformed(fault);
    return rest;
  }

  /** Hands a part on; what goes wrong then concerns this exchange alone. */
  #deliver(part: ResponsePart, hasMoreBytes: boolean): void {
    if (this.#isClosed) return;
    try {
      if (part.kind === "head") this.#onHead(part);
      else if (part.kind === "data") this.#onBody(part.bytes);
      else this.#onComplete(hasMoreBytes);
    } catch (err) {
      this.#opts.log.error(
        `cannot handle the response to ${this.#exchange?.req.id}: ${err}`,
      );
      this.#close("bad_answer");
    }
  }

  #onMalformed(reason: string): void {
    this.#opts.log.warn(
      `malformed response to ${this.#exchange?.req.id}: ${reason}`,
    );
    this.#close("bad_answer");
  }

  #onEnd(): void {
    if (this.#isClosed) return;
    this.#isBroken = wasReset(this.#socket);
    const parts = this.#isBroken ? [] : this.#parser.finish();
    for (const part of parts) this.#deliver(part, false);
    this.#close("connection_lost");
  }

  #onError(err: Error): void {
    const { code } = err as NodeJS.ErrnoException;
    if (!this.#isClosed) this.#isBroken = true;
    const isRefused = !this.#isConnected && code !== "ETIMEDOUT";
    this.#close(isRefused ? "connect_refused" : "connection_lost");
  }

  #onBody(bytes: Buffer): void {
    if (this.#isSkipping || !this.#exchange) return;
    this.#bytesWithoutBody = 0;
    this.#exchange.handlers.onData(bytes);
  }

  #onHead(
    { head, canKeepAlive }: Extract<ResponsePart, { kind: "head" }>,
  ): void {
    const exchange = this.#exchange;
    if (!exchange) return this.#close("bad_answer");
    this.#isSkipping = head.status < 200 || !this.#isAwaited(head, exchange);
    if (this.#isSkipping) return;
    this.#status = head.status;
    this.#canKeepAlive = canKeepAlive;
    this.#idleTimeoutMs = parseIdleTimeoutMs(head.headers) ??
      DEFAULT_IDLE_TIMEOUT_MS;
    exchange.hasDeliveredHead = true;
    exchange.handlers.onHead(head);
  }

  /** Whether a response belongs to the request in flight. */
  #isAwaited(head: ResponseHead, exchange: Exchange): boolean {
    const { req } = exchange;
    const { echoedRequestId } = this.#opts;
    if (!echoedRequestId) return true;
    const echoedId = echoedRequestId(head);
    if (echoedId === req.id) return true;
    if (echoedId === undefined && req.mayLackId) return true;
    this.#logSkipped(echoedId, exchange);
    return false;
  }

  /** Logs the first of an exchange; an upstream may send hundreds in a read. */
  #logSkipped(echoedId: string | undefined, exchange: Exchange): void {
    if (exchange.hasSkipped) return;
    exchange.hasSkipped = true;
    const skipped = echoedId ?? "no request";
    this.#opts.log.warn(
      `skipping response to ${skipped}, expected one to ${exchange.req.id}`,
    );
  }

  /** Bytes that follow a response belong to no request. */
  #onComplete(hasMoreBytes: boolean): void {
    if (this.#isSkipping) {
      this.#isSkipping = false;
      return;
    }
    const exchange = this.#exchange;
    if (!exchange) return;
    this.#exchange = undefined;
    this.#reading.release();
    this.#idleSince = this.#opts.timer.monotonicNow();
    if (this.#status >= MIN_REJECTION_STATUS) {
      this.#rejectedIds.add(exchange.req.id);
    }
    const isReusable = this.#canKeepAlive && !hasMoreBytes &&
      this.#rejectedIds.size < MAX_REJECTED_IDS;
    if (!isReusable) this.#close("cancelled");
    else this.#opts.onIdle(this);
    exchange.handlers.onEnd();
  }

  #close(reason: ChannelFailure["reason"]): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    const isUnanswered = reason === "connection_lost" && this.isBusy;
    this.#isBroken ||= isUnanswered || reason === "connect_timeout";
    this.#connectTimeout.cancel();
    this.#parser.free();
    this.#socket.destroy();
    if (!this.#isConnected && reason !== "cancelled") {
      this.#opts.contact.onConnectFailed();
    }
    this.#opts.onClosed(this);
    const exchange = this.#exchange;
    this.#exchange = undefined;
    exchange?.handlers.onFailure({
      reason,
      verdict: exchange.isSent ? "may_have_run" : "not_run",
      hasDeliveredHead: exchange.hasDeliveredHead,
    });
  }
}

/**
 * Whether the upstream has reset a connection that is reported as ended. Node.js
 * reports a reset that arrives together with bytes as the end of the connection;
 * the system then knows its other side no more. Nothing may read the address
 * earlier, because it is kept.
 */
function wasReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}

/** Returns the idle timeout announced by a `Keep-Alive` header, in ms. */
function parseIdleTimeoutMs(headers: Map<string, string>): number | undefined {
  const match = /timeout=(\d+)/i.exec(headers.get("keep-alive") ?? "");
  return match ? Number(match[1]) * 1_000 : undefined;
}
