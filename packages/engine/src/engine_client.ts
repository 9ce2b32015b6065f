import {
  ByteCollector,
  type CollectedResponse,
  collectResponse,
  MemoryHolders,
  parseJsonText,
} from "@toucantrestle/memory";
import {
  ConflictError,
  parseDeclaredVerdict,
  parseRetryAfterMs,
  RequestError,
  TimeoutError,
  toUpstreamError,
  UpstreamError,
  type Verdict,
} from "@toucantrestle/verdict";
import { type Dispatcher, Pool } from "undici";
import * as z from "zod";
import type {
  CompletionCall,
  CompletionDelta,
  CompletionResult,
} from "./completion.ts";
import { streamRequest } from "./stream_request.ts";
import { StreamParser } from "./stream_parser.ts";

const loadReportSchema = z.object({
  at: z.number(),
  running: z.number(),
  waiting: z.number(),
  prefill_tokens: z.number(),
  cache_used_tokens: z.number(),
  cache_limit_tokens: z.number(),
  models: z.array(z.string()),
  can_resume: z.boolean(),
  /** Version of the engine's software; an unreadable one counts as missing. */
  software_version: z.string().min(1).optional().catch(undefined),
  highest_fence: z.number(),
});

const cacheEventsSchema = z.object({
  events: z.array(z.object({
    seq: z.number(),
    kind: z.enum(["stored", "evicted"]),
    key: z.string(),
    tokens: z.number(),
  })),
});

const pinsSchema = z.object({ programs: z.array(z.string()) });

/** Load report of an engine at time `at` (ms since the Unix epoch). */
export type EngineLoadReport = z.infer<typeof loadReportSchema>;

/** A change to an engine's prefix cache. */
export type CacheEvent = z.infer<typeof cacheEventsSchema>["events"][number];

/** An order to an engine, with the fencing token of its sender. */
export interface EngineOrder {
  fence: number;
  action: "load" | "unload";
  model: string;
  weightsMb: number;
}

const CONNECT_TIMEOUT_MS = 1_000;
const CONTROL_TIMEOUT_MS = 2_000;
const KEEP_ALIVE_MS = 2_000;
/** Largest response, of a whole stream. */
const MAX_RESPONSE_BYTES = 16_000_000;
const MAX_CONTROL_BYTES = 4_000_000;
/** Longest body of an error whose verdict is read. */
const MAX_ERROR_BYTES = 65_536;
/** Events without a token of their own that a stream may have. */
const SPARE_EVENTS = 16;

/** Options of `EngineClient`. */
export interface EngineClientOptions {
  name: string;
  address: string;
  /** Where responses are counted while they arrive. */
  holders?: MemoryHolders;
}

/** Client of one model engine. */
export class EngineClient {
  readonly #name: string;
  readonly #pool: Pool;
  readonly #holders: MemoryHolders;

  constructor(opts: EngineClientOptions) {
    this.#name = opts.name;
    this.#holders = opts.holders ?? new MemoryHolders();
    this.#pool = new Pool(`http://${opts.address}`, {
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: KEEP_ALIVE_MS,
      bodyTimeout: 0,
      maxResponseSize: MAX_RESPONSE_BYTES,
      headersTimeout: 0,
    });
  }

  /**
   * Streams a completion and calls `onDelta` with each part of the output as it
   * arrives.
   *
   * @throws {RequestError} with the verdict on whether the call has run; parts
   * of the output may have been delivered before
   */
  async complete(
    call: CompletionCall,
    opts: { signal: AbortSignal; onDelta: (delta: CompletionDelta) => void },
  ): Promise<CompletionResult> {
    const parser = new StreamParser();
    const errorBody = new ByteCollector({ maxBytes: MAX_ERROR_BYTES });
    const maxTokens = call.maxTokens + SPARE_EVENTS;
    const abort = new AbortController();
    const removeHolder = this.#holders.add({
      purpose: "streams",
      keptBytes: () => parser.keptBytes + errorBody.keptBytes,
      cut: () => abort.abort(new Error("the process lacks memory")),
    });
    let status = 0;
    let tokens = 0;
    let retryAfterMs: number | undefined;
    try {
      await streamRequest(this.#pool, {
        path: "/v1/chat/completions",
        headers: {
          "content-type": "application/json",
          "x-request-id": call.requestId,
          "x-program": call.program,
          "x-step": String(call.step),
        },
        body: JSON.stringify(toWireRequest(call)),
        signal: AbortSignal.any([opts.signal, abort.signal]),
        onHead: (it, headers) => {
          status = it;
          retryAfterMs = parseRetryAfterMs(headers["retry-after"]);
        },
        onText: (text) => {
          if (status !== 200) {
            errorBody.push(Buffer.from(text));
            return;
          }
          const delta = parser.read(text);
          tokens += delta.tokens;
          if (tokens > maxTokens) throw new Error("more than was asked for");
          if (delta.tokens > 0) opts.onDelta(delta);
        },
      });
    } catch (err) {
      if (err instanceof RequestError) throw err;
      throw toUpstreamError(this.#name, err);
    } finally {
      removeHolder();
    }
    if (status !== 200) {
      const body = errorBody.takeText();
      throw this.#errorOfStatus(status, { body, retryAfterMs });
    }
    if (parser.isDone) return parser.result();
    throw toUpstreamError(
      this.#name,
      new Error("stream ended before the event [DONE]"),
    );
  }

  /** Fetches the load report. */
  async fetchLoad(): Promise<EngineLoadReport> {
    return loadReportSchema.parse(
      await this.#controlRequest("GET", "/control/load"),
    );
  }

  /** Fetches the cache events after a sequence number. */
  async cacheEvents(after: number): Promise<CacheEvent[]> {
    const path = `/control/cache_events?after=${after}`;
    const response = await this.#controlRequest("GET", path);
    return cacheEventsSchema.parse(response).events;
  }

  /** Lists the programs whose cache is pinned on the engine. */
  async listPinnedPrograms(): Promise<string[]> {
    const response = await this.#controlRequest("GET", "/control/pins");
    return pinsSchema.parse(response).programs;
  }

  /** Releases a program's cache. Returns false while the cache is in use. */
  async release(program: string): Promise<boolean> {
    const response = await this.#controlRequest("POST", "/control/release", {
      program,
    });
    return z.object({ released: z.boolean() }).parse(response).released;
  }

  /** Exports a program's cache and returns its size in tokens. */
  async exportCache(program: string): Promise<number> {
    const response = await this.#controlRequest("POST", "/control/export", {
      program,
    });
    return z.object({ tokens: z.number() }).parse(response).tokens;
  }

  /** Imports a program's cache of the given size in tokens. */
  async importCache(program: string, tokens: number): Promise<void> {
    await this.#controlRequest("POST", "/control/import", { program, tokens });
  }

  /**
   * Sends an order to load or unload a model.
   *
   * @throws {ConflictError} if the engine rejects the fencing token
   */
  async sendOrder(order: EngineOrder, deadlineMs: number): Promise<void> {
    const body = {
      fence: order.fence,
      action: order.action,
      model: order.model,
      weights_mb: order.weightsMb,
    };
    await this.#controlRequest("POST", "/control/orders", body, deadlineMs);
  }

  /** Closes all connections. Calls in flight fail. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #controlRequest(
    method: "GET" | "POST",
    path: string,
    body?: unknown,
    timeoutMs = CONTROL_TIMEOUT_MS,
  ): Promise<unknown> {
    try {
      const res = await this.#collect({
        path,
        method,
        headers: { "content-type": "application/json" },
        body: body === undefined ? null : JSON.stringify(body),
      }, timeoutMs);
      if (res.status === 200) return parseJsonText(res.text);
      throw this.#errorOfStatus(res.status, { body: res.text });
    } catch (err) {
      if (err instanceof RequestError) throw err;
      throw toUpstreamError(this.#name, err);
    }
  }

  #collect(
    req: Dispatcher.DispatchOptions,
    timeoutMs: number,
  ): Promise<CollectedResponse> {
    return collectResponse({
      maxBytes: MAX_CONTROL_BYTES,
      purpose: "reports",
      signal: AbortSignal.timeout(timeoutMs),
      holders: this.#holders,
    }, (handler) => this.#pool.dispatch(req, handler));
  }

  #errorOfStatus(
    status: number,
    { body, retryAfterMs }: { body: string; retryAfterMs?: number | undefined },
  ): RequestError {
    const verdict: Verdict = parseDeclaredVerdict(body);
    const message = `engine ${this.#name} responded with status ${status}`;
    if (status === 409) return new ConflictError(message);
    return new UpstreamError(message, { props: { verdict, retryAfterMs } });
  }
}

/** Returns whether an error means that the engine interrupted the call. */
export function isInterruptedCall(err: unknown): boolean {
  if (!(err instanceof RequestError)) return false;
  return err.verdict === "may_have_run" && !(err instanceof TimeoutError);
}

function toWireRequest(call: CompletionCall) {
  return {
    ...call.extra,
    model: call.model,
    messages: call.messages,
    max_tokens: call.maxTokens,
    priority: call.priority,
    prompt_cache_key: call.program,
    stream: true,
    stream_options: { include_usage: true },
    ...(call.continueFrom > 0 ? { continue_from: call.continueFrom } : {}),
  };
}
