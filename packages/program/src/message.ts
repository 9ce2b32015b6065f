import { Buffer } from "node:buffer";

/** One message of a conversation, in the chat-completion format. */
export interface ChatMessage {
  role: "system" | "user" | "assistant" | "tool";
  content: string;
  name?: string;
  tool_call_id?: string;
  tool_calls?: unknown;
}

/** Token counts of one completion as reported by the engine. */
export interface Usage {
  prompt_tokens: number;
  completion_tokens: number;
  /** Prompt tokens that the engine read from its prefix cache. */
  cached_tokens: number;
}

/** Maximum number of tokens that a chat template adds to each message. */
const TEMPLATE_TOKENS_PER_MESSAGE = 16;

/**
 * Returns an upper bound on the number of tokens of a message. A byte-level
 * tokenizer never produces more tokens than the text has bytes.
 */
export function maxMessageTokens(message: ChatMessage): number {
  let bytes = Buffer.byteLength(message.content);
  if (message.tool_calls !== undefined) {
    bytes += Buffer.byteLength(JSON.stringify(message.tool_calls));
  }
  return bytes + TEMPLATE_TOKENS_PER_MESSAGE;
}

/** Whether two messages are equal in all fields. */
export function isSameMessage(a: ChatMessage, b: ChatMessage): boolean {
  return a.role === b.role && a.content === b.content && a.name === b.name &&
    a.tool_call_id === b.tool_call_id &&
    JSON.stringify(a.tool_calls) === JSON.stringify(b.tool_calls);
}
