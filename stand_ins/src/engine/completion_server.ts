import type { ServerResponse } from "node:http";
import * as z from "zod";
import { type AppRequest, sendJson } from "../http/app.ts";
import type { EngineModel, RunningJob } from "./engine_model.ts";
import type { EngineSettings } from "./settings.ts";
import {
  countPromptTokens,
  defaultOutputTokens,
  type PromptMarks,
  readMarks,
  seedOf,
  tokenAt,
} from "./text.ts";

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
  /** Output tokens that were made elsewhere already. */
  continue_from: z.number().int().min(0).default(0),
});

type CompletionRequest = z.infer<typeof requestSchema>;

/** Switches that make the engine fail. */
export interface EngineFaults {
  /** Takes requests and never answers. */
  hang?: boolean;
  /** Refuses requests without running them. */
  refuse?: boolean;
  /** Cuts each stream after this many tokens. */
  cutAfterTokens?: number;
}

/** One execution, for the history checker. */
export interface EngineExecution {
  requestId: string;
  program: string;
  step: number;
  promptTokens: number;
  cachedTokens: number;
  outputTokens: number;
  state: "running" | "done" | "cut";
}

interface ActiveCompletion {
  id: string;
  request: CompletionRequest;
  res: ServerResponse;
  job: RunningJob;
  seed: number;
  sentTokens: number;
  execution: EngineExecution;
}

/** Serves completions from an engine model, token by token. */
export class CompletionServer {
  readonly faults: EngineFaults = {};
  readonly executions: EngineExecution[] = [];
  readonly models: Set<string>;
  readonly #model: EngineModel;
  readonly #settings: EngineSettings;
  readonly #onCrash: () => void;
  readonly #active = new Map<string, ActiveCompletion>();
  readonly #crashing = new Set<string>();
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
      const detail = "this engine cannot resume";
      return sendJson(res, 400, { verdict: "not_run", detail });
    }
    this.#start(request, {
      res,
      requestId: String(req.headers["x-request-id"] ?? ""),
      program: String(req.headers["x-program"] ?? ""),
      step: Number(req.headers["x-step"] ?? 0),
    });
  }

  /** Moves the model to `now` and sends the tokens that came due. */
  tick(now: number): void {
    for (const event of this.#model.advanceTo(now)) {
      if (event.kind === "started" && this.#crashing.has(event.job.id)) {
        this.#onCrash();
      }
    }
    for (const active of this.#active.values()) this.#send(active);
  }

  #start(
    request: CompletionRequest,
    from: {
      res: ServerResponse;
      requestId: string;
      program: string;
      step: number;
    },
  ): void {
    const id = `c${this.#nextId++}`;
    const marks = readMarks(request.messages);
    const seed = seedOf(request.messages);
    const outputTokens = outputLength(request, marks, seed);
    const promptTokens = countPromptTokens(request.messages);
    const job = this.#model.submit({
      id,
      cacheKey: request.prompt_cache_key || id,
      promptTokens: promptTokens + request.continue_from,
      outputTokens: Math.max(1, outputTokens - request.continue_from),
      priority: request.priority,
    });
    if (marks.crash) this.#crashing.add(id);
    const execution: EngineExecution = {
      requestId: from.requestId,
      program: from.program,
      step: from.step,
      promptTokens,
      cachedTokens: 0,
      outputTokens: 0,
      state: "running",
    };
    this.executions.push(execution);
    this.#active.set(id, {
      id,
      request,
      res: from.res,
      job,
      seed,
      sentTokens: 0,
      execution,
    });
    from.res.on("close", () => this.#stop(id));
  }

  #stop(id: string): void {
    const active = this.#active.get(id);
    if (!active) return;
    active.execution.state = "cut";
    this.#active.delete(id);
    this.#model.cancel(id);
  }

  #send(active: ActiveCompletion): void {
    const { job, request, res } = active;
    const ready = Math.floor(job.generated + 1e-6);
    const isDone = ready >= job.outputTokens;
    if (request.stream) this.#sendTokens(active, ready);
    const cutAt = this.faults.cutAfterTokens;
    if (cutAt !== undefined && ready >= cutAt && !isDone) {
      res.destroy();
      return;
    }
    if (!isDone) return;
    this.#active.delete(active.id);
    active.execution.state = "done";
    active.execution.cachedTokens = job.cachedTokens;
    active.execution.outputTokens = request.continue_from + job.outputTokens;
    if (request.stream) sendStreamEnd(active);
    else sendWhole(active);
  }

  #sendTokens(active: ActiveCompletion, ready: number): void {
    if (ready <= active.sentTokens) return;
    if (!active.res.headersSent) {
      active.res.writeHead(200, { "content-type": "text/event-stream" });
    }
    let text = "";
    for (let i = active.sentTokens; i < ready; i++) {
      const index = active.request.continue_from + i;
      text += eventLine(active, { content: tokenAt(active.seed, index) }, null);
    }
    active.sentTokens = ready;
    active.res.write(text);
  }
}

function outputLength(
  request: CompletionRequest,
  marks: PromptMarks,
  seed: number,
): number {
  const wanted = marks.tokens ?? defaultOutputTokens(seed);
  return Math.min(request.max_tokens, wanted);
}

function eventLine(
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

function usageOf({ job, request }: ActiveCompletion) {
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
    usage: usageOf(active),
  };
  active.res.write(eventLine(active, {}, "stop"));
  active.res.end(`data: ${JSON.stringify(usage)}\n\ndata: [DONE]\n\n`);
}

function sendWhole(active: ActiveCompletion): void {
  const { request, job, seed } = active;
  let content = "";
  for (let i = 0; i < job.outputTokens; i++) {
    content += tokenAt(seed, request.continue_from + i);
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
    usage: usageOf(active),
  });
}
