import type { CompletionDelta, CompletionEnd } from "./completion.ts";

interface WireToolCall {
  index?: number;
  id?: string;
  type?: string;
  function?: { name?: string; arguments?: string };
}

interface WireChunk {
  choices?: {
    delta?: { content?: string | null; tool_calls?: WireToolCall[] };
    finish_reason?: string | null;
  }[];
  usage?: WireUsage | null;
}

/** Token counts on the wire. */
export interface WireUsage {
  prompt_tokens: number;
  completion_tokens: number;
  prompt_tokens_details?: { cached_tokens?: number } | null;
}

/** Shape of nearly all events: one piece of text and nothing else. */
const PLAIN_DELTA_START = '"choices":[{"index":0,"delta":{"content":"';
const PLAIN_DELTA_END = '"},"finish_reason":null}]}';

const EVENT_END = "\n\n";
const DATA_PREFIX = "data: ";
const DONE = "[DONE]";

/**
 * Reads the server-sent events of a streamed completion. Events that carry
 * output are handed on as they came; the closing ones are kept back.
 */
export class StreamParser {
  #rest = "";
  #finishReason = "";
  #usage: WireUsage | undefined;
  readonly #toolCalls: WireToolCall[] = [];
  #isDone = false;

  /** Whether the closing event was read. */
  get isDone(): boolean {
    return this.#isDone;
  }

  /** Reads a piece of the stream and returns what it completes. */
  read(piece: string): CompletionDelta {
    const text = this.#rest + piece;
    const end = text.lastIndexOf(EVENT_END);
    if (end === -1) {
      this.#rest = text;
      return { events: "", text: "", tokens: 0 };
    }
    this.#rest = text.slice(end + EVENT_END.length);
    const delta: CompletionDelta = { events: "", text: "", tokens: 0 };
    for (const event of text.slice(0, end).split(EVENT_END)) {
      this.#readEvent(event, delta);
    }
    return delta;
  }

  /** What the closing events said. */
  end(): CompletionEnd {
    return {
      finishReason: this.#finishReason || "stop",
      usage: this.#usage && {
        prompt_tokens: this.#usage.prompt_tokens,
        completion_tokens: this.#usage.completion_tokens,
        cached_tokens: this.#usage.prompt_tokens_details?.cached_tokens ?? 0,
      },
      toolCalls: this.#toolCalls.length > 0 ? this.#toolCalls : undefined,
    };
  }

  #readEvent(event: string, delta: CompletionDelta): void {
    if (!event.startsWith(DATA_PREFIX)) return;
    const data = event.slice(DATA_PREFIX.length);
    if (data === DONE) {
      this.#isDone = true;
      return;
    }
    const plain = plainText(event);
    if (plain !== undefined && plain !== "") {
      delta.events += event + EVENT_END;
      delta.text += plain;
      delta.tokens += 1;
      return;
    }
    const chunk = JSON.parse(data) as WireChunk;
    if (chunk.usage) this.#usage = chunk.usage;
    const choice = chunk.choices?.[0];
    if (!choice) return;
    if (choice.finish_reason) this.#finishReason = choice.finish_reason;
    const content = choice.delta?.content ?? "";
    const toolCalls = choice.delta?.tool_calls;
    if (toolCalls) toolCalls.forEach((part) => this.#addToolCall(part));
    if (content === "" && !toolCalls) return;
    delta.events += event + EVENT_END;
    delta.text += content;
    delta.tokens += 1;
  }

  #addToolCall(part: WireToolCall): void {
    const index = part.index ?? 0;
    const known = this.#toolCalls[index];
    if (!known) {
      this.#toolCalls[index] = structuredClone(part);
      return;
    }
    const args = part.function?.arguments ?? "";
    if (!known.function) known.function = {};
    known.function.arguments = (known.function.arguments ?? "") + args;
  }
}

/**
 * Text of an event of the plain shape, without parsing the whole event; tens
 * of thousands of these come a second. Any other event gives undefined.
 */
function plainText(event: string): string | undefined {
  if (!event.endsWith(PLAIN_DELTA_END)) return undefined;
  const start = event.indexOf(PLAIN_DELTA_START);
  if (start === -1) return undefined;
  const text = event.slice(
    start + PLAIN_DELTA_START.length,
    event.length - PLAIN_DELTA_END.length,
  );
  const isLiteral = !text.includes("\\") && !text.includes('"');
  return isLiteral ? text : undefined;
}
