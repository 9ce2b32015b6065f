import {
  type Problem,
  RequestError,
  toRequestError,
  toUpstreamError,
  UnavailableError,
  type Verdict,
} from "@toucantrestle/verdict";
import { Agent, type Dispatcher, request } from "undici";
import { watchHost } from "./host_watch.ts";

/** Settings of a caller. */
export interface CallerOptions {
  /** Addresses of some daemons, `host:port`. */
  addresses: string[];
  key: string;
  /** Time in ms after which the client stops asking again. */
  patienceMs: number;
  /** Called before each try, for history checks. */
  onAttempt?: (attempt: Attempted) => void;
}

/** One try of a request. */
export interface Attempted {
  requestId: string;
  address: string;
  path: string;
}

/** A request to any daemon. */
export interface ClientRequest {
  method: "GET" | "POST" | "DELETE";
  path: string;
  requestId: string;
  /** Program whose owner is best asked. */
  program: string | undefined;
  headers: Record<string, string>;
  body: unknown;
}

/** A whole answer. */
export interface ClientAnswer {
  status: number;
  contentType: string;
  text: string;
}

interface CachedPlace {
  address: string;
  until: number;
}

const MIN_RETRY_MS = 50;
const TRY_TIMEOUT_MS = 180_000;
const CONNECT_TIMEOUT_MS = 1_000;
const STEADY_RETRY_MS = 200;

/** Client of the callers' protocol. */
export class CallerClient {
  readonly #opts: CallerOptions;
  readonly #places = new Map<string, CachedPlace>();
  readonly #agent: Dispatcher = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: TRY_TIMEOUT_MS,
    bodyTimeout: TRY_TIMEOUT_MS,
  });
  #turn = 0;

  constructor(opts: CallerOptions) {
    this.#opts = opts;
  }

  /**
   * Sends a request, and again under the same id while the answer says that it
   * can be repeated: always safe, since the system keeps each outcome.
   *
   * @throws {RequestError} with the verdict on the request
   */
  async send(req: ClientRequest): Promise<ClientAnswer> {
    const giveUpAt = Date.now() + this.#opts.patienceMs;
    let mayHaveRun = false;
    for (;;) {
      try {
        return await this.#sendOnce(req);
      } catch (err) {
        mayHaveRun ||= (err as RequestError).verdict !== "not_run";
        const again = delayBeforeRetry(err);
        if (again === undefined || Date.now() + again >= giveUpAt) {
          throw mayHaveRun ? admitting(err) : err;
        }
        if (req.program !== undefined) this.#places.delete(req.program);
        await new Promise((resolve) => setTimeout(resolve, again));
      }
    }
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #sendOnce(req: ClientRequest): Promise<ClientAnswer> {
    const address = await this.#placeOf(req.program);
    this.#opts.onAttempt?.({
      requestId: req.requestId,
      address,
      path: req.path,
    });
    const answer = await this.#exchange(address, req);
    if (answer.status < 400) return checkStream(answer);
    throw toError(answer);
  }

  async #exchange(address: string, req: ClientRequest): Promise<ClientAnswer> {
    const watch = watchHost(address, this.#agent);
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
        signal: watch.signal,
      });
      return {
        status: res.statusCode,
        contentType: String(res.headers["content-type"] ?? ""),
        text: await res.body.text(),
      };
    } catch (err) {
      throw toUpstreamError(address, err);
    } finally {
      watch.cancel();
    }
  }

  /** Address for a program: as a daemon told, or any daemon. */
  async #placeOf(program: string | undefined): Promise<string> {
    const { addresses } = this.#opts;
    const any = addresses[this.#turn++ % addresses.length] as string;
    if (program === undefined) return any;
    const known = this.#places.get(program);
    if (known && known.until > Date.now()) return known.address;
    const path = `/v1/where?program=${program}`;
    const answer = await this.#exchange(any, {
      method: "GET",
      path,
      requestId: "where",
      program: undefined,
      headers: {},
      body: undefined,
    });
    if (answer.status !== 200) throw toError(answer);
    const where = JSON.parse(answer.text) as {
      address: string;
      keep_ms: number;
    };
    this.#places.set(program, {
      address: where.address,
      until: Date.now() + where.keep_ms,
    });
    return where.address;
  }
}

/**
 * Time to wait before a repeat, or undefined when the answer is final. A
 * refusal says when to come back; a lost connection is repeated at once.
 */
function delayBeforeRetry(err: unknown): number | undefined {
  if (!(err instanceof RequestError)) return undefined;
  if (err.retryAfterMs !== undefined) {
    return Math.max(MIN_RETRY_MS, err.retryAfterMs);
  }
  const isConnection = err.name === "UpstreamError" ||
    err.name === "BrokenStreamError";
  return isConnection ? STEADY_RETRY_MS : undefined;
}

/** The failure of the last try, when an earlier one may have run. */
function admitting(err: unknown): unknown {
  if (!(err instanceof RequestError)) return err;
  const { message, status, retryAfterMs } = err;
  const verdict: Verdict = "may_have_run";
  return new RequestError(message, {
    props: { verdict, status, retryAfterMs },
  });
}

/** A stream that broke off is not a whole answer. */
function checkStream(answer: ClientAnswer): ClientAnswer {
  if (!answer.contentType.startsWith("text/event-stream")) return answer;
  if (answer.text.trimEnd().endsWith("data: [DONE]")) return answer;
  const verdict: Verdict = "may_have_run";
  throw new UnavailableError("the stream broke off", {
    props: { verdict, retryAfterMs: STEADY_RETRY_MS },
  });
}

function toError(answer: ClientAnswer): RequestError {
  try {
    return toRequestError(JSON.parse(answer.text) as Problem);
  } catch {
    const verdict: Verdict = "may_have_run";
    return new RequestError(`the daemon answered ${answer.status}`, {
      props: { status: answer.status, verdict },
    });
  }
}
