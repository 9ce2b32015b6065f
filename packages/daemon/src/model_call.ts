import type { CompletionDelta, CompletionResult } from "@toucantrestle/engine";
import {
  type AnsweredOutcome,
  type ChatMessage,
  extractNewMessages,
  type Outcome,
  worstCaseTokens,
} from "@toucantrestle/program";
import type { CompleteRequest, ResponseSink } from "@toucantrestle/sibling";
import type { ModelPolicy } from "@toucantrestle/table";
import { NotFoundError, RequestError, toProblem } from "@toucantrestle/verdict";
import {
  type CompletionIds,
  EVENT_STREAM_START,
  writeOutcome,
  writeOutcomeAsStream,
  writeStreamEnd,
  writeStreamProblem,
} from "./outcome_writer.ts";
import { type CallContext, requireLedger } from "./call_context.ts";
import type { CallPlan, CallResult, CallRunner } from "./call_runner.ts";
import { CrashGuard, createUpstreamUnavailableError } from "./crash_guard.ts";
import type { Placement } from "./placement_queue.ts";
import type { OwnedShard } from "./owned_shard.ts";
import { UNPROCESSABLE_STATUS } from "./isolation.ts";
import { listUnableToContinue, type OutputOrigin } from "./output_origin.ts";
import { startStallWatchdog } from "./stall_watchdog.ts";
import { downTimeMs, hasNotRunVerdict, tryUpstreams } from "./try_upstreams.ts";

const MAX_ATTEMPTS = 4;
/**
 * If an attempt fails and is retried elsewhere, its engine gets no new calls for
 * this time.
 */
const ENGINE_DOWN_MS = 2_000;
/** Engines run bulk calls after foreground calls; lower numbers run first. */
const ENGINE_PRIORITIES = { foreground: 0, bulk: 10 } as const;

/** One attempt of a model call on an engine. */
interface Attempt {
  placement: Placement;
  startedAt: number;
  firstTokenAt: number | undefined;
}

/** Runs a model call and retries it on another engine if its engine fails. */
export class ModelCall {
  readonly #ctx: CallContext;
  readonly #runner: CallRunner;
  readonly #shard: OwnedShard;
  readonly #caller: string;
  readonly #request: CompleteRequest;
  readonly #sink: ResponseSink;
  readonly #ids: CompletionIds;
  readonly #excludedUpstreams: string[] = [];
  readonly #deadlineAt: number;
  #plan: CallPlan | undefined;
  /** Output of all attempts so far. */
  #outputText = "";
  #outputTokens = 0;
  /** Software that wrote the output; undefined while there is none. */
  #origin: OutputOrigin | undefined;

  constructor(
    opts: {
      ctx: CallContext;
      runner: CallRunner;
      shard: OwnedShard;
      caller: string;
      request: CompleteRequest;
      sink: ResponseSink;
    },
  ) {
    this.#ctx = opts.ctx;
    this.#runner = opts.runner;
    this.#shard = opts.shard;
    this.#caller = opts.caller;
    this.#request = opts.request;
    this.#sink = opts.sink;
    this.#ids = {
      id: `${opts.request.program}:${opts.request.requestId}`,
      model: opts.request.model,
    };
    this.#deadlineAt = opts.ctx.timer.now() + this.#getModel().deadlineMs;
  }

  /**
   * Runs the call and writes its response.
   *
   * @throws {RequestError} if it failed before the response started
   */
  async run(): Promise<void> {
    this.#ctx.isolation.checkAllowed(this.#request.fingerprint);
    const plan = this.#createPlan();
    this.#plan = plan;
    const started = this.#runner.start(plan);
    if (started.kind === "earlier") {
      this.#writeRecordedOutcome(await started.outcome);
      return;
    }
    try {
      this.#writeNewOutcome(await started.outcome);
    } catch (err) {
      if (!this.#sink.hasStarted) throw err;
      this.#ctx.chunkBuffer.flush(this.#sink);
      writeStreamProblem(toProblem(err), this.#sink);
    }
  }

  #getModel(): ModelPolicy {
    const model = this.#ctx.table().models.get(this.#request.model);
    if (model) return model;
    throw new NotFoundError(`unknown model "${this.#request.model}"`);
  }

  #createPlan(): CallPlan {
    const { program, step, requestId, fingerprint } = this.#request;
    const ledger = requireLedger(this.#shard, program, this.#caller);
    const messages = extractNewMessages(ledger, this.#request.messages);
    const reservedTokens = worstCaseTokens(
      ledger,
      messages,
      this.#getMaxTokens(),
    );
    const { timer, table } = this.#ctx;
    const { queueDeadlineMs } = table().system;
    return {
      shard: this.#shard,
      program,
      caller: this.#caller,
      request: { step, requestId, fingerprint, reservedTokens },
      upstreamKind: "engine",
      target: this.#request.model,
      idempotent: true,
      promptTokens: ledger.historyTokens + estimateTokens(messages),
      expectedOutputTokens: Math.min(this.#getMaxTokens(), 256),
      messages,
      queueDeadlineAt: Math.min(
        this.#deadlineAt,
        timer.now() + queueDeadlineMs,
      ),
      run: (stepNumber, firstPlacement) =>
        this.#runAttempts(stepNumber, firstPlacement),
    };
  }

  #getMaxTokens(): number {
    return this.#request.maxTokens ?? this.#getModel().maxOutputTokens;
  }

  #writeRecordedOutcome(outcome: Outcome): void {
    const write = this.#request.stream ? writeOutcomeAsStream : writeOutcome;
    write(outcome, this.#ids, this.#sink);
  }

  #writeNewOutcome(outcome: Outcome): void {
    if (this.#request.stream && this.#sink.hasStarted) {
      this.#ctx.chunkBuffer.flush(this.#sink);
      writeStreamEnd(outcome, this.#ids, this.#sink);
    } else this.#writeRecordedOutcome(outcome);
  }

  async #runAttempts(
    step: number,
    firstPlacement: Placement,
  ): Promise<CallResult> {
    this.#ctx.retryBudget.recordFirstAttempt(
      this.#ctx.table().system.retryShare,
    );
    const { fingerprint, program } = this.#request;
    const guard = new CrashGuard(this.#ctx, {
      fingerprint,
      program,
      caller: this.#caller,
      deadlineAt: this.#deadlineAt,
    });
    const completion = await tryUpstreams({
      first: firstPlacement,
      maxAttempts: MAX_ATTEMPTS,
      runOnce: (placement) =>
        guard.run(placement, {
          run: () => this.#runOnce(step, placement),
          release: () => this.#runner.releasePlacement(placement),
        }),
      mayRetry: (err) => this.#mayRetry(err),
      recordFailure: (placement, err) => this.#recordFailure(placement, err),
      placeRetry: () => this.#placeRetry(step),
    });
    return this.#createResult(completion);
  }

  #mayRetry(err: unknown): boolean {
    if (err instanceof RequestError && err.status === UNPROCESSABLE_STATUS) {
      return false;
    }
    const { timer, retryBudget } = this.#ctx;
    return timer.now() < this.#deadlineAt && retryBudget.tryConsume();
  }

  #recordFailure(placement: Placement, err: unknown): void {
    const { upstream } = placement;
    this.#excludedUpstreams.push(upstream);
    this.#ctx.placementQueue.dispatcher.markDown(
      upstream,
      this.#ctx.timer.now() + downTimeMs(err, ENGINE_DOWN_MS),
    );
    this.#ctx.timeline.record({
      part: "call",
      kind: "call_retried",
      program: this.#request.program,
      request: this.#request.requestId,
      detail: err instanceof Error ? err.message : String(err),
    });
    if (!hasNotRunVerdict(err) && !this.#sink.hasStarted) this.#discardOutput();
  }

  /** Discards the output, none of which has been sent to the caller yet. */
  #discardOutput(): void {
    this.#outputText = "";
    this.#outputTokens = 0;
    this.#origin = undefined;
  }

  async #placeRetry(step: number): Promise<Placement> {
    const plan = this.#plan as CallPlan;
    const unusable = this.#listUnusableEngines();
    this.#requireUsableEngine(unusable);
    const work = this.#runner.createWorkItem(plan, unusable);
    const placement = await this.#ctx.placementQueue.waitForPlacement(work);
    this.#ctx.journal.append(this.#shard, {
      kind: "call_retried",
      program: plan.program,
      step,
      upstream: placement.upstream,
    });
    return placement;
  }

  /**
   * Fails at once if no engine is left that may continue the output.
   *
   * @throws {RequestError} if all engines are unusable
   */
  #requireUsableEngine(unusable: string[]): void {
    const names = this.#ctx.upstreams.engines().map((it) => it.name);
    if (!this.#origin || names.some((it) => !unusable.includes(it))) return;
    throw createUpstreamUnavailableError(this.#request.model);
  }

  /**
   * Returns the engines that failed the call and, if output exists, those that
   * must not continue it.
   */
  #listUnusableEngines(): string[] {
    if (!this.#origin) return [...this.#excludedUpstreams];
    const { upstreams, loadReader } = this.#ctx;
    const engines = upstreams.engines().map((it) =>
      loadReader.softwareOf(it.name)
    );
    const unable = listUnableToContinue(engines, this.#origin);
    return [...this.#excludedUpstreams, ...unable];
  }

  async #runOnce(
    step: number,
    placement: Placement,
  ): Promise<CompletionResult> {
    const { timer, upstreams } = this.#ctx;
    const engine = upstreams.engine(placement.upstream);
    const attempt: Attempt = {
      placement,
      startedAt: timer.now(),
      firstTokenAt: undefined,
    };
    const watchdog = startStallWatchdog(timer, this.#deadlineAt);
    try {
      if (!engine) throw createUpstreamUnavailableError(placement.upstream);
      const completion = await engine.complete(this.#createEngineCall(step), {
        signal: watchdog.signal,
        onDelta: (delta) => {
          watchdog.recordOutput();
          attempt.firstTokenAt ??= timer.now();
          this.#origin ??= this.#ctx.loadReader.softwareOf(placement.upstream);
          this.#onDelta(delta);
        },
      });
      this.#finishAttempt(attempt, completion);
      return completion;
    } catch (err) {
      this.#runner.releasePlacement(placement);
      throw err;
    } finally {
      watchdog.cancel();
    }
  }

  #createEngineCall(step: number) {
    const { program, requestId, model, extra } = this.#request;
    const ledger = requireLedger(this.#shard, program, this.#caller);
    const policy = this.#ctx.table().callers.get(this.#caller);
    return {
      requestId,
      program,
      step,
      model,
      messages: [...ledger.history, ...(this.#plan as CallPlan).messages],
      maxTokens: this.#getMaxTokens(),
      priority: ENGINE_PRIORITIES[policy?.class ?? "foreground"],
      continueFrom: this.#outputTokens,
      extra,
    };
  }

  #onDelta(delta: CompletionDelta): void {
    this.#outputText += delta.text;
    this.#outputTokens += delta.tokens;
    if (!this.#request.stream) return;
    if (!this.#sink.hasStarted) this.#sink.head(EVENT_STREAM_START);
    this.#ctx.chunkBuffer.add(this.#sink, delta.events);
  }

  #finishAttempt(attempt: Attempt, completion: CompletionResult): void {
    const { timer, placementQueue } = this.#ctx;
    const now = timer.now();
    const firstTokenAt = attempt.firstTokenAt ?? now;
    const usage = completion.usage;
    placementQueue.recordFinished(attempt.placement.id, {
      now,
      upstream: attempt.placement.upstream,
      contextTokens: usage
        ? usage.prompt_tokens + usage.completion_tokens
        : undefined,
      cachedTokens: usage?.cached_tokens ?? 0,
      outputTokens: usage?.completion_tokens ?? 0,
      firstTokenMs: firstTokenAt - attempt.startedAt,
      decodeMs: now - firstTokenAt,
    });
  }

  #createResult(completion: CompletionResult): CallResult {
    const message: ChatMessage = {
      role: "assistant",
      content: this.#outputText,
    };
    if (completion.toolCalls) message.tool_calls = completion.toolCalls;
    const outcome: AnsweredOutcome = {
      kind: "answered",
      status: 200,
      contentType: "application/json",
      body: "",
      message,
      finishReason: completion.finishReason,
    };
    if (completion.usage) outcome.usage = completion.usage;
    const spentTokens = completion.usage
      ? completion.usage.prompt_tokens + completion.usage.completion_tokens
      : (this.#plan as CallPlan).request.reservedTokens;
    return { outcome, spentTokens };
  }
}

/** Estimates the tokens of new messages, which the placement of the call uses. */
function estimateTokens(messages: ChatMessage[]): number {
  const CHARS_PER_TOKEN = 4;
  let sum = 0;
  for (const { content } of messages) sum += content.length / CHARS_PER_TOKEN;
  return Math.ceil(sum);
}
