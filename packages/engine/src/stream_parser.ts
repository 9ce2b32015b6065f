import { ByteCollector } from "@toucantrestle/memory";
import { Buffer } from "node:buffer";
import type { CompletionDelta, CompletionResult } from "./completion.ts";

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

/** Token counts in the wire format. */
export interface WireUsage {
  prompt_tokens: number;
  completion_tokens: number;
  prompt_tokens_details?: { cached_tokens?: number } | null;
}

/**
 * Enclose the text of an event that contains one text delta and nothing else,
 * which is the form of nearly all events.
 */
const TEXT_DELTA_PREFIX = '"choices":[{"index":0,"delta":{"content":"';
const TEXT_DELTA_SUFFIX = '"},"finish_reason":null}]}';

const EVENT_SEPARATOR = "\n\n";
const DATA_PREFIX = "data: ";
const DONE_MARKER = "[DONE]";
/** A longer event than this is not one. */
const MAX_EVENT_BYTES = 262_144;
const MAX_TOOL_CALLS = 1_000;

/**
 * Parses the server-sent events of a streamed completion. Events that contain
 * output are returned unchanged; the closing events are only parsed.
 */
export class StreamParser {
  /** Beginning of an event whose end has not arrived. */
  readonly #partial = new ByteCollector({ maxBytes: MAX_EVENT_BYTES });
  #endsWithLine = false;
  #finishReason = "";
  #usage: WireUsage | undefined;
  readonly #toolCalls: WireToolCall[] = [];
  #isDone = false;

  /** Returns whether the closing event was read. */
  get isDone(): boolean {
    return this.#isDone;
  }

  /** Memory that is kept for an event whose end has not arrived, in bytes. */
  get keptBytes(): number {
    return this.#partial.keptBytes;
  }

  /**
   * Reads a chunk of the stream and returns the events that it completes.
   *
   * @throws {Error} if an event is too long or malformed
   */
  read(chunk: string): CompletionDelta {
    const delta: CompletionDelta = { events: "", text: "", tokens: 0 };
    const isSplit = this.#endsWithLine && chunk.startsWith("\n");
    if (!isSplit && !chunk.includes(EVENT_SEPARATOR)) {
      this.#keep(chunk);
      return delta;
    }
    const text = this.#partial.bytes === 0
      ? chunk
      : this.#partial.takeText() + chunk;
    const end = text.lastIndexOf(EVENT_SEPARATOR);
    this.#keep(text.slice(end + EVENT_SEPARATOR.length));
    for (const event of text.slice(0, end).split(EVENT_SEPARATOR)) {
      this.#readEvent(event, delta);
    }
    return delta;
  }

  /** Returns the outcome that the closing events reported. */
  result(): CompletionResult {
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

  #keep(text: string): void {
    if (text === "") {
      this.#endsWithLine &&= this.#partial.bytes > 0;
      return;
    }
    this.#endsWithLine = text.endsWith("\n");
    if (this.#partial.push(Buffer.from(text))) return;
    throw new Error(`event exceeds ${MAX_EVENT_BYTES} bytes`);
  }

  #readEvent(event: string, delta: CompletionDelta): void {
    if (!event.startsWith(DATA_PREFIX)) return;
    const data = event.slice(DATA_PREFIX.length);
    if (data === DONE_MARKER) {
      this.#isDone = true;
      return;
    }
    const fastPathText = extractText(event);
    if (fastPathText !== undefined && fastPathText !== "") {
      delta.events += event + EVENT_SEPARATOR;
      delta.text += fastPathText;
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
    if (toolCalls) toolCalls.forEach((it) => this.#mergeToolCall(it));
    if (content === "" && !toolCalls) return;
    delta.events += event + EVENT_SEPARATOR;
    delta.text += content;
    delta.tokens += 1;
  }

  #mergeToolCall(fragment: WireToolCall): void {
    const index = fragment.index ?? 0;
    if (!Number.isInteger(index) || index < 0 || index >= MAX_TOOL_CALLS) {
      throw new Error(`tool call has index ${index}`);
    }
    const existing = this.#toolCalls[index];
    if (!existing) {
      this.#toolCalls[index] = structuredClone(fragment);
      return;
    }
    const args = fragment.function?.arguments ?? "";
    if (!existing.function) existing.function = {};
    existing.function.arguments = (existing.function.arguments ?? "") + args;
  }
}

/**
 * Extracts the text of an event that contains nothing but text, and returns
 * undefined for any other event. Avoids parsing the JSON because tens of
 * thousands of these events arrive per second.
 */
function extractText(event: string): string | undefined {
  if (!event.endsWith(TEXT_DELTA_SUFFIX)) return undefined;
  const start = event.indexOf(TEXT_DELTA_PREFIX);
  if (start === -1) return undefined;
  const text = event.slice(
    start + TEXT_DELTA_PREFIX.length,
    event.length - TEXT_DELTA_SUFFIX.length,
  );
  const isUnescaped = !text.includes("\\") && !text.includes('"');
  return isUnescaped ? text : undefined;
}
