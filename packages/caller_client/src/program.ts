import { randomUUID } from "node:crypto";
import type { CallerClient, ClientAnswer } from "./client.ts";

/** A completion as the caller reads it. Sizes in tokens. */
export interface ChatAnswer {
  text: string;
  promptTokens: number;
  cachedTokens: number;
  outputTokens: number;
}

/** Answer of a service call. */
export interface CallAnswer {
  status: number;
  body: unknown;
}

interface WireUsage {
  prompt_tokens: number;
  completion_tokens: number;
  prompt_tokens_details?: { cached_tokens?: number };
}

interface WireCompletion {
  choices: { message?: { content?: string }; delta?: { content?: string } }[];
  usage?: WireUsage;
}

/** One program of a caller, with its next step. */
export class Program {
  readonly id: string;
  readonly #client: CallerClient;
  #nextStep = 1;

  private constructor(client: CallerClient, id: string) {
    this.#client = client;
    this.id = id;
  }

  /** Starts a program. A repeat of the same request id finds the first. */
  static async start(
    client: CallerClient,
    opts: { requestId?: string; parent?: string; budgetTokens?: number },
  ): Promise<Program> {
    const answer = await client.send({
      method: "POST",
      path: "/v1/programs",
      requestId: opts.requestId ?? randomUUID(),
      program: undefined,
      headers: {},
      body: { parent: opts.parent, budget_tokens: opts.budgetTokens },
    });
    const { program } = JSON.parse(answer.text) as { program: string };
    return new Program(client, program);
  }

  /** Step number of the next call. */
  get nextStep(): number {
    return this.#nextStep;
  }

  /** Leaves out a step whose outcome will not be known. */
  skipStep(): void {
    this.#nextStep += 1;
  }

  /** Makes a model call with one new message. */
  async chat(
    content: string,
    opts: {
      model: string;
      stream?: boolean;
      maxTokens?: number;
      requestId?: string;
    },
  ): Promise<ChatAnswer> {
    const answer = await this.#call("/v1/chat/completions", {
      requestId: opts.requestId,
      body: {
        model: opts.model,
        messages: [{ role: "user", content }],
        stream: opts.stream ?? false,
        max_tokens: opts.maxTokens,
      },
    });
    return opts.stream ? readStream(answer) : readWhole(answer);
  }

  /** Makes a call of a service route. */
  async service(
    route: string,
    body: unknown,
    opts: { requestId?: string } = {},
  ): Promise<CallAnswer> {
    const answer = await this.#call(`/v1/services/${route}`, {
      requestId: opts.requestId,
      body,
    });
    return { status: answer.status, body: JSON.parse(answer.text) };
  }

  /** Reads the program's state. */
  async show(): Promise<unknown> {
    const answer = await this.#client.send({
      method: "GET",
      path: `/v1/programs/${this.id}`,
      requestId: randomUUID(),
      program: this.id,
      headers: {},
      body: undefined,
    });
    return JSON.parse(answer.text);
  }

  /** Ends the program. */
  async end(): Promise<void> {
    await this.#client.send({
      method: "DELETE",
      path: `/v1/programs/${this.id}`,
      requestId: randomUUID(),
      program: this.id,
      headers: {},
      body: undefined,
    });
  }

  async #call(
    path: string,
    opts: { requestId: string | undefined; body: unknown },
  ): Promise<ClientAnswer> {
    const answer = await this.#client.send({
      method: "POST",
      path,
      requestId: opts.requestId ?? randomUUID(),
      program: this.id,
      headers: { "x-program": this.id, "x-step": String(this.#nextStep) },
      body: opts.body,
    });
    this.#nextStep += 1;
    return answer;
  }
}

function readWhole(answer: ClientAnswer): ChatAnswer {
  const body = JSON.parse(answer.text) as WireCompletion;
  return chatAnswer(body.choices[0]?.message?.content ?? "", body.usage);
}

function readStream(answer: ClientAnswer): ChatAnswer {
  let text = "";
  let usage: WireUsage | undefined;
  for (const event of answer.text.split("\n\n")) {
    if (!event.startsWith("data: {")) continue;
    const chunk = JSON.parse(event.slice("data: ".length)) as WireCompletion;
    text += chunk.choices[0]?.delta?.content ?? "";
    usage = chunk.usage ?? usage;
  }
  return chatAnswer(text, usage);
}

function chatAnswer(text: string, usage: WireUsage | undefined): ChatAnswer {
  return {
    text,
    promptTokens: usage?.prompt_tokens ?? 0,
    cachedTokens: usage?.prompt_tokens_details?.cached_tokens ?? 0,
    outputTokens: usage?.completion_tokens ?? 0,
  };
}
