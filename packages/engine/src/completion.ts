import type { ChatMessage, Usage } from "@toucantrestle/program";

/** A completion to be computed by an engine. */
export interface CompletionCall {
  requestId: string;
  program: string;
  step: number;
  model: string;
  messages: ChatMessage[];
  maxTokens: number;
  /** Lower runs first. */
  priority: number;
  /** Output tokens that another engine made already. */
  continueFrom: number;
  /** Other fields of the caller's request, passed through. */
  extra: Record<string, unknown>;
}

/** Part of a stream: whole server-sent events and the text they carry. */
export interface CompletionDelta {
  events: string;
  text: string;
  tokens: number;
}

/** End of a stream. */
export interface CompletionEnd {
  finishReason: string;
  usage: Usage | undefined;
  toolCalls: unknown[] | undefined;
}
