import { createHash } from "node:crypto";

/** A chat message of a prompt. */
export interface PromptMessage {
  role: string;
  content: string;
}

/** Directives in the last message of a prompt that control the stand-in. */
export interface PromptDirectives {
  /** Output length in tokens, from `#tokens=N`. */
  tokens: number | undefined;
  /** Whether the engine crashes when it starts the request, from `#crash`. */
  crash: boolean;
}

const MESSAGE_OVERHEAD_TOKENS = 4;
const MIN_OUTPUT_TOKENS = 20;
const OUTPUT_TOKENS_RANGE = 40;

/**
 * Counts the tokens of a prompt: one per word, plus an overhead per message.
 */
export function countPromptTokens(messages: PromptMessage[]): number {
  let sum = 0;
  for (const { content } of messages) {
    sum += MESSAGE_OVERHEAD_TOKENS + countWords(content);
  }
  return sum;
}

/** Parses the directives of a prompt, such as `#tokens=300` and `#crash`. */
export function parseDirectives(messages: PromptMessage[]): PromptDirectives {
  const text = messages.at(-1)?.content ?? "";
  const tokens = /#tokens=(\d+)/.exec(text)?.[1];
  return {
    tokens: tokens === undefined ? undefined : Number(tokens),
    crash: /#crash\b/.test(text),
  };
}

/**
 * Derives the output seed, so that all engines generate the same output for a
 * prompt.
 */
export function outputSeed(messages: PromptMessage[]): number {
  const hash = createHash("sha256");
  for (const { role, content } of messages) {
    hash.update(`${role}\n${content}\n`);
  }
  return hash.digest().readUInt32BE(0);
}

/** Returns the output length in tokens when no directive sets it. */
export function defaultOutputTokens(seed: number): number {
  return MIN_OUTPUT_TOKENS + seed % OUTPUT_TOKENS_RANGE;
}

/** Generates the output token at `index`: one word and a space. */
export function generateToken(seed: number, index: number): string {
  const value = (seed ^ Math.imul(index + 1, 0x9e3779b1)) >>> 0;
  return `${(value % 46_656).toString(36)}.${index} `;
}

function countWords(text: string): number {
  return text.split(/\s+/).filter((word) => word !== "").length;
}

/**
 * Returns the complete output that every engine generates for a conversation.
 * `maxTokens` is the output limit of the request.
 */
export function expectedAnswer(
  messages: PromptMessage[],
  maxTokens = Infinity,
): string {
  const seed = outputSeed(messages);
  const length = parseDirectives(messages).tokens ?? defaultOutputTokens(seed);
  let text = "";
  for (let i = 0; i < Math.min(length, maxTokens); i++) {
    text += generateToken(seed, i);
  }
  return text;
}
