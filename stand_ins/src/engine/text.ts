import { createHash } from "node:crypto";

/** A message as the engine reads it. */
export interface PromptMessage {
  role: string;
  content: string;
}

/** Marks that a prompt's last message may carry to steer the stand-in. */
export interface PromptMarks {
  /** Length of the output in tokens. */
  tokens: number | undefined;
  /** Whether the request crashes the engine that runs it. */
  crash: boolean;
}

const TEMPLATE_TOKENS = 4;
const MIN_OUTPUT_TOKENS = 20;
const OUTPUT_TOKENS_SPREAD = 40;

/** Counts tokens of a prompt: words, and a few for each message. */
export function countPromptTokens(messages: PromptMessage[]): number {
  let sum = 0;
  for (const { content } of messages) {
    sum += TEMPLATE_TOKENS + countWords(content);
  }
  return sum;
}

/** Reads the marks of a prompt, such as `#tokens=300` and `#crash`. */
export function readMarks(messages: PromptMessage[]): PromptMarks {
  const text = messages.at(-1)?.content ?? "";
  const tokens = /#tokens=(\d+)/.exec(text)?.[1];
  return {
    tokens: tokens === undefined ? undefined : Number(tokens),
    crash: /#crash\b/.test(text),
  };
}

/** Seed of the output: equal prompts get equal outputs on all engines. */
export function seedOf(messages: PromptMessage[]): number {
  const hash = createHash("sha256");
  for (const { role, content } of messages) {
    hash.update(`${role}\n${content}\n`);
  }
  return hash.digest().readUInt32BE(0);
}

/** Length of the output for a seed that no mark overrides. */
export function defaultOutputTokens(seed: number): number {
  return MIN_OUTPUT_TOKENS + seed % OUTPUT_TOKENS_SPREAD;
}

/** Token number `index` of the output: one word and a space. */
export function tokenAt(seed: number, index: number): string {
  const value = (seed ^ Math.imul(index + 1, 0x9e3779b1)) >>> 0;
  return `${(value % 46_656).toString(36)}.${index} `;
}

function countWords(text: string): number {
  return text.split(/\s+/).filter((word) => word !== "").length;
}

/**
 * The whole answer that every engine gives to a conversation. `maxTokens` is
 * the limit of the request.
 */
export function expectedAnswer(
  messages: PromptMessage[],
  maxTokens = Infinity,
): string {
  const seed = seedOf(messages);
  const wanted = readMarks(messages).tokens ?? defaultOutputTokens(seed);
  let text = "";
  for (let i = 0; i < Math.min(wanted, maxTokens); i++) {
    text += tokenAt(seed, i);
  }
  return text;
}
