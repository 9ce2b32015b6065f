import type { Logger } from "@toucantrestle/log";
import type { Subscription, Timer } from "@toucantrestle/timer";
import { HTTPParser, type HTTPParserJS } from "http-parser-js";
import type { Socket } from "node:net";
import type { ContactListener } from "./contact.ts";
import type { Dial } from "./dial.ts";
import type {
  ChannelFailure,
  OutgoingRequest,
  ResponseHandlers,
  ResponseHead,
} from "./exchange.ts";
import { checkResponseHead } from "./response_head.ts";

/** Options of one connection. */
export interface ChannelOptions {
  address: string;
  timer: Timer;
  log: Logger;
  connectTimeoutMs: number;
  dial: Dial;
  contact: ContactListener;
  /** Returns the request id that a response echoes; undefined if none. */
  echoedRequestId: (head: ResponseHead) => string | undefined;
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
}

/** An idle connection is not reused this shortly before its idle timeout. */
const IDLE_MARGIN_MS = 500;
/** Bytes that may arrive in a row without a byte of the awaited body. */
const MAX_BYTES_WITHOUT_BODY = 131_072;
/** Tells the parser that a response has no body in spite of its headers. */
const SKIP_BODY = 1;
/** Idle timeout if the upstream announces none. */
const DEFAULT_IDLE_TIMEOUT_MS = 4_000;

/** HTTP/1.1 connection to an upstream, with at most one request in flight. */
export class Channel {
  readonly #opts: ChannelOptions;
  readonly #socket: Socket;
  readonly #connectTimeout: Subscription;
  #parser: HTTPParserJS;
  #exchange: Exchange | undefined;
  /** True while parsing an interim response or one to an earlier request. */
  #isSkipping = false;
  #isConnected = false;
  #isClosed = false;
  #canKeepAlive = true;
  #idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS;
  #idleSince = 0;
  #bytesWithoutBody = 0;

  constructor(opts: ChannelOptions) {
    this.#opts = opts;
    this.#parser = this.#createParser();
    this.#socket = opts.dial(opts.address);
    this.#connectTimeout = opts.timer.after(
      opts.connectTimeoutMs,
      () => this.#close("connect_timeout"),
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

  /** Whether the connection is open, idle and not close to its idle timeout. */
  isUsable(now: number): boolean {
    if (this.#isClosed || this.#exchange) return false;
    return now - this.#idleSince < this.#idleTimeoutMs - IDLE_MARGIN_MS;
  }

  /** Sends a request. The connection must be idle or new. */
  send(req: OutgoingRequest, handlers: ResponseHandlers): void {
    this.#exchange = { req, handlers, hasDeliveredHead: false, isSent: false };
    this.#bytesWithoutBody = 0;
    if (this.#isConnected) this.#write();
  }

  /** Cancels the request with this id by closing its connection. */
  cancel(id: string): void {
    if (this.#exchange?.req.id === id) this.#close("cancelled");
  }

  /** Stops reading the response to the request with this id. */
  pause(id: string): void {
    if (this.#exchange?.req.id === id) this.#socket.pause();
  }

  /** Reads the response to the request with this id again. */
  resume(id: string): void {
    if (this.#exchange?.req.id === id) this.#socket.resume();
  }

  /** Closes the connection if it is not established yet. */
  closeUnconnected(): void {
    if (!this.#isConnected) this.#close("connect_timeout");
  }

  /** Closes the connection, which cancels the request in flight. */
  close(): void {
    this.#close("cancelled");
  }

  #onConnect(): void {
    this.#connectTimeout.cancel();
    this.#isConnected = true;
    this.#opts.contact.onConnected();
    this.#idleSince = this.#opts.timer.monotonicNow();
    if (this.#exchange) this.#write();
  }

  #write(): void {
    const exchange = this.#exchange as Exchange;
    const { method, path, headers, body } = exchange.req;
    let head = `${method} ${path} HTTP/1.1\r\n`;
    for (let i = 0; i + 1 < headers.length; i += 2) {
      head += `${headers[i]}: ${headers[i + 1]}\r\n`;
    }
    exchange.isSent = true;
    this.#socket.cork();
    this.#socket.write(`${head}\r\n`, "latin1");
    if (body.length > 0) this.#socket.write(body);
    this.#socket.uncork();
  }

  #onData(chunk: Buffer): void {
    if (this.#isClosed) return;
    this.#opts.contact.onReceived();
    if (!this.#exchange) return this.#close("bad_answer");
    this.#bytesWithoutBody += chunk.length;
    const parsed = this.#parse(chunk);
    const isEndless = this.#bytesWithoutBody > MAX_BYTES_WITHOUT_BODY;
    if (parsed instanceof Error || isEndless) this.#close("bad_answer");
  }

  /** Returns the error of the parser or of a callback, if any. */
  #parse(chunk: Buffer): unknown {
    try {
      return this.#parser.execute(chunk);
    } catch (err) {
      this.#opts.log.error(
        `cannot handle the response to ${this.#exchange?.req.id}: ${err}`,
      );
      return err;
    }
  }

  #onMalformed(reason: string): void {
    this.#opts.log.warn(
      `malformed response to ${this.#exchange?.req.id}: ${reason}`,
    );
    this.#close("bad_answer");
  }

  #onEnd(): void {
    const err = this.#isClosed ? undefined : this.#parser.finish() as unknown;
    if (err instanceof Error) this.#close("connection_lost");
    this.#close("connection_lost");
  }

  #onError(err: Error): void {
    const { code } = err as NodeJS.ErrnoException;
    const isRefused = !this.#isConnected && code !== "ETIMEDOUT";
    this.#close(isRefused ? "connect_refused" : "connection_lost");
  }

  #createParser(): HTTPParserJS {
    const parser = new HTTPParser(HTTPParser.RESPONSE);
    parser[HTTPParser.kOnHeadersComplete] = (info) => {
      this.#onHead(info.statusCode, info.headers, info.shouldKeepAlive);
      return this.#exchange?.req.method === "HEAD" ? SKIP_BODY : 0;
    };
    parser[HTTPParser.kOnBody] = (buffer, offset, length) => {
      if (this.#isSkipping || !this.#exchange) return;
      this.#bytesWithoutBody = 0;
      this.#exchange.handlers.onData(buffer.subarray(offset, offset + length));
    };
    parser[HTTPParser.kOnMessageComplete] = () => this.#onComplete();
    return parser;
  }

  #onHead(status: number, rawHeaders: string[], canKeepAlive: boolean): void {
    const exchange = this.#exchange;
    if (!exchange) return this.#close("bad_answer");
    const check = checkResponseHead({ status, rawHeaders });
    if (check.kind === "malformed") return this.#onMalformed(check.reason);
    const { head } = check;
    const echoedId = this.#opts.echoedRequestId(head);
    const isInterim = status < 200;
    this.#isSkipping = isInterim ||
      (echoedId !== undefined && echoedId !== exchange.req.id);
    if (this.#isSkipping) {
      if (!isInterim) {
        this.#opts.log.warn(
          `skipping response to request ${echoedId}, expected one to ${exchange.req.id}`,
        );
      }
      return;
    }
    this.#canKeepAlive = canKeepAlive;
    this.#idleTimeoutMs = parseIdleTimeoutMs(head.headers) ??
      DEFAULT_IDLE_TIMEOUT_MS;
    exchange.hasDeliveredHead = true;
    exchange.handlers.onHead(head);
  }

  #onComplete(): void {
    if (this.#isClosed) return;
    if (this.#isSkipping) {
      this.#isSkipping = false;
      return;
    }
    const exchange = this.#exchange;
    if (!exchange) return;
    this.#exchange = undefined;
    this.#socket.resume();
    this.#idleSince = this.#opts.timer.monotonicNow();
    const { offset, end } = this.#parser as unknown as ParserPosition;
    const hasExtraBytes = offset < end;
    if (hasExtraBytes || !this.#canKeepAlive) this.#close("cancelled");
    else this.#opts.onIdle(this);
    exchange.handlers.onEnd();
  }

  #close(reason: ChannelFailure["reason"]): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#connectTimeout.cancel();
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

/** Position of the parser within the current chunk. */
interface ParserPosition {
  offset: number;
  end: number;
}

/** Returns the idle timeout announced by a `Keep-Alive` header, in ms. */
function parseIdleTimeoutMs(headers: Map<string, string>): number | undefined {
  const match = /timeout=(\d+)/i.exec(headers.get("keep-alive") ?? "");
  return match ? Number(match[1]) * 1_000 : undefined;
}
