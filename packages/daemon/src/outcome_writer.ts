import type { AnsweredOutcome, Outcome } from "@toucantrestle/program";
import type { ResponseSink, ResponseStart } from "@toucantrestle/sibling";
import { type Problem, toRequestError } from "@toucantrestle/verdict";

/** Start of a streamed completion. */
export const EVENT_STREAM_START: ResponseStart = {
  status: 200,
  contentType: "text/event-stream",
};

/** Fields of a model call's response that are not part of its outcome. */
export interface CompletionIds {
  id: string;
  model: string;
}

/**
 * Writes a recorded outcome as a single, non-streamed response.
 *
 * @throws {RequestError} if the outcome is a failure
 */
export function writeOutcome(
  outcome: Outcome,
  ids: CompletionIds,
  sink: ResponseSink,
): void {
  const answered = requireAnswered(outcome);
  const { status, contentType, endsWithConnection = false } = answered;
  sink.head({ status, contentType, endsWithConnection });
  sink.data(
    answered.message ? formatCompletion(answered, ids) : answered.body,
  );
  sink.end();
}

/**
 * Writes a recorded outcome as an event stream with the complete text in one
 * chunk.
 *
 * @throws {RequestError} if the outcome is a failure
 */
export function writeOutcomeAsStream(
  outcome: Outcome,
  ids: CompletionIds,
  sink: ResponseSink,
): void {
  const { message } = requireAnswered(outcome);
  sink.head(EVENT_STREAM_START);
  const delta = {
    role: "assistant",
    content: message?.content ?? "",
    ...(message?.tool_calls === undefined
      ? {}
      : { tool_calls: message.tool_calls }),
  };
  sink.data(formatStreamEvent(ids, [{ index: 0, delta, finish_reason: null }]));
  writeStreamEnd(outcome, ids, sink);
}

/** Writes the final events of a stream. */
export function writeStreamEnd(
  outcome: Outcome,
  ids: CompletionIds,
  sink: ResponseSink,
): void {
  const answered = requireAnswered(outcome);
  const finish_reason = answered.finishReason;
  sink.data(formatStreamEvent(ids, [{ index: 0, delta: {}, finish_reason }]));
  sink.data(formatStreamEvent(ids, [], createUsage(answered)));
  sink.data("data: [DONE]\n\n");
  sink.end();
}

/** Ends a stream that failed midway with an event that carries the problem. */
export function writeStreamProblem(problem: Problem, sink: ResponseSink): void {
  sink.data(`event: error\ndata: ${JSON.stringify(problem)}\n\n`);
  sink.end();
}

function requireAnswered(outcome: Outcome): AnsweredOutcome {
  if (outcome.kind === "answered") return outcome;
  throw toRequestError(outcome.problem);
}

function formatCompletion(
  outcome: AnsweredOutcome,
  ids: CompletionIds,
): string {
  return JSON.stringify({
    id: ids.id,
    object: "chat.completion",
    model: ids.model,
    choices: [{
      index: 0,
      message: outcome.message,
      finish_reason: outcome.finishReason,
    }],
    usage: createUsage(outcome),
  });
}

function createUsage({ usage }: AnsweredOutcome) {
  if (!usage) return undefined;
  return {
    prompt_tokens: usage.prompt_tokens,
    completion_tokens: usage.completion_tokens,
    total_tokens: usage.prompt_tokens + usage.completion_tokens,
    prompt_tokens_details: { cached_tokens: usage.cached_tokens },
  };
}

function formatStreamEvent(
  ids: CompletionIds,
  choices: unknown[],
  usage?: unknown,
): string {
  const event = {
    id: ids.id,
    object: "chat.completion.chunk",
    model: ids.model,
    choices,
    ...(usage === undefined ? {} : { usage }),
  };
  return `data: ${JSON.stringify(event)}\n\n`;
}
