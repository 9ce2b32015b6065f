import { Buffer } from "node:buffer";

/** One message of a conversation, in the usual chat-completion form. */
export interface ChatMessage {
  role: "system" | "user" | "assistant" | "tool";
  content: string;
  name?: string;
  tool_call_id?: string;
  tool_calls?: unknown;
}

/** Token counts of one completion, as the engine reports them. */
export interface Usage {
  prompt_tokens: number;
  completion_tokens: number;
  /** Prompt tokens that the engine took from its prefix cache. */
  cached_tokens: number;
}

/** Tokens that a chat template adds to each message at the most. */
const TEMPLATE_TOKENS_PER_MESSAGE = 16;

/**
 * Upper bound on the tokens of a message. A byte-level tokenizer never makes
 * more tokens than the text has bytes.
 */
export function maxTokensOfMessage(message: ChatMessage): number {
  let bytes = Buffer.byteLength(message.content);
  if (message.tool_calls !== undefined) {
    bytes += Buffer.byteLength(JSON.stringify(message.tool_calls));
  }
  return bytes + TEMPLATE_TOKENS_PER_MESSAGE;
}

/** Tells whether two messages are the same. */
export function sameMessage(a: ChatMessage, b: ChatMessage): boolean {
  return a.role === b.role && a.content === b.content && a.name === b.name &&
    a.tool_call_id === b.tool_call_id &&
    JSON.stringify(a.tool_calls) === JSON.stringify(b.tool_calls);
}
