import type { ServerResponse } from "node:http";
import * as z from "zod";
import { type AppRequest, sendJson } from "../http/app.ts";
import type { EngineJobState, EngineModel } from "./engine_model.ts";
import type { EngineSettings } from "./settings.ts";
import {
  countPromptTokens,
  defaultOutputTokens,
  generateToken,
  outputSeed,
  parseDirectives,
  type PromptDirectives,
} from "./text_generation.ts";

const requestSchema = z.object({
  model: z.string(),
  messages: z.array(z.object({
    role: z.string(),
    content: z.string(),
  })),
  max_tokens: z.number().int().positive().default(1_024),
  stream: z.boolean().default(false),
  priority: z.number().default(0),
  prompt_cache_key: z.string().default(""),
  /** Output tokens that another engine has already generated. */
  continue_from: z.number().int().min(0).default(0),
});

type CompletionRequest = z.infer<typeof requestSchema>;

/** Fault switches of the engine. */
export interface EngineFaults {
  /** Accepts requests and never responds. */
  hang?: boolean;
  /** Rejects requests without running them. */
  refuse?: boolean;
  /** Closes each connection once this many output tokens are generated. */
  cutAfterTokens?: number;
}

/** An execution, recorded for the history checker. */
export interface EngineExecution {
  requestId: string;
  program: string;
  step: number;
  promptTokens: number;
  cachedTokens: number;
  outputTokens: number;
  state: "running" | "done" | "cut";
}

/** A completion that the engine model runs. */
interface ActiveCompletion {
  id: string;
  request: CompletionRequest;
  res: ServerResponse;
  job: EngineJobState;
  seed: number;
  sentTokens: number;
  execution: EngineExecution;
}

/** Serves chat completions whose timing comes from an engine model. */
export class CompletionServer {
  readonly faults: EngineFaults = {};
  readonly executions: EngineExecution[] = [];
  readonly models: Set<string>;
  readonly #model: EngineModel;
  readonly #settings: EngineSettings;
  readonly #onCrash: () => void;
  readonly #active = new Map<string, ActiveCompletion>();
  readonly #crashingJobs = new Set<string>();
  #nextId = 1;

  constructor(
    opts: {
      model: EngineModel;
      settings: EngineSettings;
      models: Set<string>;
      onCrash: () => void;
    },
  ) {
    this.#model = opts.model;
    this.#settings = opts.settings;
    this.models = opts.models;
    this.#onCrash = opts.onCrash;
  }

  /** Handles a completion request. */
  handle({ req, res, body }: AppRequest): void {
    const request = requestSchema.parse(body);
    if (this.faults.hang) return;
    if (this.faults.refuse) {
      return sendJson(res, 503, { verdict: "not_run", detail: "refused" });
    }
    if (!this.models.has(request.model)) {
      const detail = `model ${request.model} is not loaded`;
      return sendJson(res, 404, { verdict: "not_run", detail });
    }
    if (request.continue_from > 0 && !this.#settings.canResume) {
      const detail = "the engine does not support resuming a stream";
      return sendJson(res, 400, { verdict: "not_run", detail });
    }
    this.#start(request, {
      res,
      requestId: String(req.headers["x-request-id"] ?? ""),
      program: String(req.headers["x-program"] ?? ""),
      step: Number(req.headers["x-step"] ?? 0),
    });
  }

  /**
   * Advances the model to `now` and sends the tokens generated since the last
   * tick.
   */
  tick(now: number): void {
    for (const event of this.#model.advanceTo(now)) {
      if (event.kind === "started" && this.#crashingJobs.has(event.job.id)) {
        this.#onCrash();
      }
    }
    for (const active of this.#active.values()) this.#sendProgress(active);
  }

  #start(
    request: CompletionRequest,
    origin: {
      res: ServerResponse;
      requestId: string;
      program: string;
      step: number;
    },
  ): void {
    const id = `c${this.#nextId++}`;
    const directives = parseDirectives(request.messages);
    const seed = outputSeed(request.messages);
    const outputTokens = outputLength(request, directives, seed);
    const promptTokens = countPromptTokens(request.messages);
    const job = this.#model.submit({
      id,
      cacheKey: request.prompt_cache_key || id,
      promptTokens: promptTokens + request.continue_from,
      outputTokens: Math.max(1, outputTokens - request.continue_from),
      priority: request.priority,
    });
    if (directives.crash) this.#crashingJobs.add(id);
    const execution: EngineExecution = {
      requestId: origin.requestId,
      program: origin.program,
      step: origin.step,
      promptTokens,
      cachedTokens: 0,
      outputTokens: 0,
      state: "running",
    };
    this.executions.push(execution);
    this.#active.set(id, {
      id,
      request,
      res: origin.res,
      job,
      seed,
      sentTokens: 0,
      execution,
    });
    origin.res.on("close", () => this.#abort(id));
  }

  #abort(id: string): void {
    const active = this.#active.get(id);
    if (!active) return;
    active.execution.state = "cut";
    this.#active.delete(id);
    this.#model.cancel(id);
  }

  #sendProgress(active: ActiveCompletion): void {
    const { job, request, res } = active;
    const available = Math.floor(job.generatedTokens + 1e-6);
    const isDone = available >= job.outputTokens;
    if (request.stream) this.#sendTokens(active, available);
    const cutAt = this.faults.cutAfterTokens;
    if (cutAt !== undefined && available >= cutAt && !isDone) {
      res.destroy();
      return;
    }
    if (!isDone) return;
    this.#active.delete(active.id);
    active.execution.state = "done";
    active.execution.cachedTokens = job.cachedTokens;
    active.execution.outputTokens = request.continue_from + job.outputTokens;
    if (request.stream) sendStreamEnd(active);
    else sendCompletion(active);
  }

  #sendTokens(active: ActiveCompletion, available: number): void {
    if (available <= active.sentTokens) return;
    if (!active.res.headersSent) {
      active.res.writeHead(200, { "content-type": "text/event-stream" });
    }
    let text = "";
    for (let i = active.sentTokens; i < available; i++) {
      const index = active.request.continue_from + i;
      text += formatChunk(active, {
        content: generateToken(active.seed, index),
      }, null);
    }
    active.sentTokens = available;
    active.res.write(text);
  }
}

function outputLength(
  request: CompletionRequest,
  directives: PromptDirectives,
  seed: number,
): number {
  const length = directives.tokens ?? defaultOutputTokens(seed);
  return Math.min(request.max_tokens, length);
}

function formatChunk(
  active: ActiveCompletion,
  delta: { content?: string; role?: string },
  finishReason: string | null,
): string {
  const event = {
    id: active.id,
    object: "chat.completion.chunk",
    model: active.request.model,
    choices: [{ index: 0, delta, finish_reason: finishReason }],
  };
  return `data: ${JSON.stringify(event)}\n\n`;
}

function tokenUsage({ job, request }: ActiveCompletion) {
  const completion = request.continue_from + job.outputTokens;
  const prompt = job.promptTokens - request.continue_from;
  return {
    prompt_tokens: prompt,
    completion_tokens: completion,
    total_tokens: prompt + completion,
    prompt_tokens_details: { cached_tokens: job.cachedTokens },
  };
}

function sendStreamEnd(active: ActiveCompletion): void {
  const usage = {
    id: active.id,
    object: "chat.completion.chunk",
    choices: [],
    usage: tokenUsage(active),
  };
  active.res.write(formatChunk(active, {}, "stop"));
  active.res.end(`data: ${JSON.stringify(usage)}\n\ndata: [DONE]\n\n`);
}

function sendCompletion(active: ActiveCompletion): void {
  const { request, job, seed } = active;
  let content = "";
  for (let i = 0; i < job.outputTokens; i++) {
    content += generateToken(seed, request.continue_from + i);
  }
  sendJson(active.res, 200, {
    id: active.id,
    object: "chat.completion",
    model: request.model,
    choices: [{
      index: 0,
      message: { role: "assistant", content },
      finish_reason: "stop",
    }],
    usage: tokenUsage(active),
  });
}
