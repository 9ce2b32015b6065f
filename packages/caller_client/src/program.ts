import { randomUUID } from "node:crypto";
import type { CallerClient, ClientResponse } from "./client.ts";

/** Result of a model call. Counts in tokens. */
export interface ChatResult {
  text: string;
  promptTokens: number;
  cachedTokens: number;
  outputTokens: number;
}

/** Result of a service call. */
export interface ServiceCallResult {
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

/** A program of a caller, which numbers its steps consecutively. */
export class Program {
  readonly id: string;
  readonly #client: CallerClient;
  #nextStep = 1;

  private constructor(client: CallerClient, id: string) {
    this.#client = client;
    this.id = id;
  }

  /** Starts a program. Idempotent for the same request id. */
  static async start(
    client: CallerClient,
    opts: { requestId?: string; parent?: string; budgetTokens?: number },
  ): Promise<Program> {
    const response = await client.send({
      method: "POST",
      path: "/v1/programs",
      requestId: opts.requestId ?? randomUUID(),
      program: undefined,
      headers: {},
      body: { parent: opts.parent, budget_tokens: opts.budgetTokens },
    });
    const { program } = JSON.parse(response.text) as { program: string };
    return new Program(client, program);
  }

  /** Returns the step number of the next call. */
  get nextStep(): number {
    return this.#nextStep;
  }

  /** Skips the step of a call whose outcome will stay unknown. */
  skipStep(): void {
    this.#nextStep += 1;
  }

  /** Makes a model call that adds one user message. */
  async chat(
    content: string,
    opts: {
      model: string;
      stream?: boolean;
      maxTokens?: number;
      requestId?: string;
    },
  ): Promise<ChatResult> {
    const response = await this.#call("/v1/chat/completions", {
      requestId: opts.requestId,
      body: {
        model: opts.model,
        messages: [{ role: "user", content }],
        stream: opts.stream ?? false,
        max_tokens: opts.maxTokens,
      },
    });
    return opts.stream
      ? parseStreamedResponse(response)
      : parseResponse(response);
  }

  /** Makes a call to a service route. */
  async service(
    route: string,
    body: unknown,
    opts: { requestId?: string } = {},
  ): Promise<ServiceCallResult> {
    const response = await this.#call(`/v1/services/${route}`, {
      requestId: opts.requestId,
      body,
    });
    return { status: response.status, body: JSON.parse(response.text) };
  }

  /** Fetches the program's state. */
  async fetchState(): Promise<unknown> {
    const response = await this.#client.send({
      method: "GET",
      path: `/v1/programs/${this.id}`,
      requestId: randomUUID(),
      program: this.id,
      headers: {},
      body: undefined,
    });
    return JSON.parse(response.text);
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
  ): Promise<ClientResponse> {
    const response = await this.#client.send({
      method: "POST",
      path,
      requestId: opts.requestId ?? randomUUID(),
      program: this.id,
      headers: { "x-program": this.id, "x-step": String(this.#nextStep) },
      body: opts.body,
    });
    this.#nextStep += 1;
    return response;
  }
}

function parseResponse(response: ClientResponse): ChatResult {
  const body = JSON.parse(response.text) as WireCompletion;
  return toChatResult(body.choices[0]?.message?.content ?? "", body.usage);
}

function parseStreamedResponse(response: ClientResponse): ChatResult {
  let text = "";
  let usage: WireUsage | undefined;
  for (const event of response.text.split("\n\n")) {
    if (!event.startsWith("data: {")) continue;
    const chunk = JSON.parse(event.slice("data: ".length)) as WireCompletion;
    text += chunk.choices[0]?.delta?.content ?? "";
    usage = chunk.usage ?? usage;
  }
  return toChatResult(text, usage);
}

function toChatResult(text: string, usage: WireUsage | undefined): ChatResult {
  return {
    text,
    promptTokens: usage?.prompt_tokens ?? 0,
    cachedTokens: usage?.prompt_tokens_details?.cached_tokens ?? 0,
    outputTokens: usage?.completion_tokens ?? 0,
  };
}
