import type { ChatMessage, Usage } from "@toucantrestle/program";

/** A completion request to an engine. */
export interface CompletionCall {
  requestId: string;
  program: string;
  step: number;
  model: string;
  messages: ChatMessage[];
  maxTokens: number;
  /** Scheduling priority; lower values run first. */
  priority: number;
  /** Number of output tokens that another engine has already generated. */
  continueFrom: number;
  /** Other fields of the caller's request, forwarded unchanged. */
  extra: Record<string, unknown>;
}

/** Part of a stream: complete server-sent events and the text they contain. */
export interface CompletionDelta {
  events: string;
  text: string;
  tokens: number;
}

/** Outcome of a completed stream. */
export interface CompletionResult {
  finishReason: string;
  usage: Usage | undefined;
  toolCalls: unknown[] | undefined;
}
