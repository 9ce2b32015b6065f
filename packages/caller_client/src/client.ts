import {
  type Problem,
  RequestError,
  toRequestError,
  toUpstreamError,
  UnavailableError,
  type Verdict,
} from "@toucantrestle/verdict";
import { Agent, type Dispatcher, request } from "undici";
import { monitorHost } from "./host_monitor.ts";

/** Options of a `CallerClient`. */
export interface CallerClientOptions {
  /** Addresses of one or more daemons, `host:port`. */
  addresses: string[];
  /** API key of the caller. */
  key: string;
  /** Total time in ms after which the client stops retrying a request. */
  retryTimeoutMs: number;
  /** Called before each attempt, so that tests can check the history. */
  onAttempt?: (attempt: RequestAttempt) => void;
}

/** One attempt to send a request. */
export interface RequestAttempt {
  requestId: string;
  address: string;
  path: string;
}

/** A request that any daemon accepts. */
export interface ClientRequest {
  method: "GET" | "POST" | "DELETE";
  path: string;
  requestId: string;
  /** Program whose owner should receive the request, if any. */
  program: string | undefined;
  headers: Record<string, string>;
  body: unknown;
}

/** A response whose body was read to its end. */
export interface ClientResponse {
  status: number;
  contentType: string;
  text: string;
}

interface CachedAddress {
  address: string;
  expiresAt: number;
}

const MIN_RETRY_DELAY_MS = 50;
const ATTEMPT_TIMEOUT_MS = 180_000;
const CONNECT_TIMEOUT_MS = 1_000;
const CONNECTION_RETRY_DELAY_MS = 200;

/** Client of the callers' protocol. Distributes requests over the daemons. */
export class CallerClient {
  readonly #opts: CallerClientOptions;
  readonly #addressCache = new Map<string, CachedAddress>();
  readonly #agent: Dispatcher = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: ATTEMPT_TIMEOUT_MS,
    bodyTimeout: ATTEMPT_TIMEOUT_MS,
  });
  #nextAddressIndex = 0;

  constructor(opts: CallerClientOptions) {
    this.#opts = opts;
  }

  /**
   * Sends a request and retries it with the same request id while the failure
   * is retryable and time remains. Retries are idempotent because the daemons
   * store the outcome of each request id.
   *
   * @throws {RequestError} with the verdict on whether the request has run
   */
  async send(req: ClientRequest): Promise<ClientResponse> {
    const deadline = Date.now() + this.#opts.retryTimeoutMs;
    let mayHaveRun = false;
    for (;;) {
      try {
        return await this.#sendAttempt(req);
      } catch (err) {
        mayHaveRun ||= (err as RequestError).verdict !== "not_run";
        const retryDelayMs = retryDelayFor(err);
        if (
          retryDelayMs === undefined || Date.now() + retryDelayMs >= deadline
        ) {
          throw mayHaveRun ? withMayHaveRun(err) : err;
        }
        if (req.program !== undefined) this.#addressCache.delete(req.program);
        await new Promise((resolve) => setTimeout(resolve, retryDelayMs));
      }
    }
  }

  /** Closes all connections. Requests in flight fail. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #sendAttempt(req: ClientRequest): Promise<ClientResponse> {
    const address = await this.#resolveAddress(req.program);
    this.#opts.onAttempt?.({
      requestId: req.requestId,
      address,
      path: req.path,
    });
    const response = await this.#exchange(address, req);
    if (response.status < 400) return assertStreamComplete(response);
    throw toResponseError(response);
  }

  async #exchange(
    address: string,
    req: ClientRequest,
  ): Promise<ClientResponse> {
    const monitor = monitorHost(address, this.#agent);
    try {
      const res = await request(`http://${address}${req.path}`, {
        method: req.method,
        headers: {
          authorization: `Bearer ${this.#opts.key}`,
          "content-type": "application/json",
          "x-request-id": req.requestId,
          ...req.headers,
        },
        body: req.body === undefined ? null : JSON.stringify(req.body),
        dispatcher: this.#agent,
        signal: monitor.signal,
      });
      return {
        status: res.statusCode,
        contentType: String(res.headers["content-type"] ?? ""),
        text: await res.body.text(),
      };
    } catch (err) {
      throw toUpstreamError(address, err);
    } finally {
      monitor.cancel();
    }
  }

  /**
   * Returns the cached or looked-up address for a program. Requests without a
   * program are distributed round-robin.
   */
  async #resolveAddress(program: string | undefined): Promise<string> {
    const { addresses } = this.#opts;
    const nextAddress =
      addresses[this.#nextAddressIndex++ % addresses.length] as string;
    if (program === undefined) return nextAddress;
    const cached = this.#addressCache.get(program);
    if (cached && cached.expiresAt > Date.now()) return cached.address;
    const path = `/v1/where?program=${program}`;
    const response = await this.#exchange(nextAddress, {
      method: "GET",
      path,
      requestId: "where",
      program: undefined,
      headers: {},
      body: undefined,
    });
    if (response.status !== 200) throw toResponseError(response);
    const location = JSON.parse(response.text) as {
      address: string;
      keep_ms: number;
    };
    this.#addressCache.set(program, {
      address: location.address,
      expiresAt: Date.now() + location.keep_ms,
    });
    return location.address;
  }
}

/**
 * Returns the delay in ms before a retry, or undefined if the error is final. A
 * refused request carries its own delay; a lost connection has a fixed one.
 */
function retryDelayFor(err: unknown): number | undefined {
  if (!(err instanceof RequestError)) return undefined;
  if (err.retryAfterMs !== undefined) {
    return Math.max(MIN_RETRY_DELAY_MS, err.retryAfterMs);
  }
  const isConnectionError = err.name === "UpstreamError";
  return isConnectionError ? CONNECTION_RETRY_DELAY_MS : undefined;
}

/**
 * Returns the error of the last attempt with the verdict `may_have_run`,
 * because an earlier attempt may have run.
 */
function withMayHaveRun(err: unknown): unknown {
  if (!(err instanceof RequestError)) return err;
  const { message, status, retryAfterMs } = err;
  const verdict: Verdict = "may_have_run";
  return new RequestError(message, {
    props: { verdict, status, retryAfterMs },
  });
}

/**
 * Returns the response unless it is an event stream that ended prematurely.
 *
 * @throws {UnavailableError} if the stream lacks its closing event
 */
function assertStreamComplete(response: ClientResponse): ClientResponse {
  if (!response.contentType.startsWith("text/event-stream")) return response;
  if (response.text.trimEnd().endsWith("data: [DONE]")) return response;
  const verdict: Verdict = "may_have_run";
  throw new UnavailableError("response stream ended before the event [DONE]", {
    props: { verdict, retryAfterMs: CONNECTION_RETRY_DELAY_MS },
  });
}

function toResponseError(response: ClientResponse): RequestError {
  try {
    return toRequestError(JSON.parse(response.text) as Problem);
  } catch {
    const verdict: Verdict = "may_have_run";
    return new RequestError(`daemon responded with status ${response.status}`, {
      props: { status: response.status, verdict },
    });
  }
}
