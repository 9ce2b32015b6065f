import type { CompletionDelta, CompletionResult } from "@toucantrestle/engine";
import {
  type AnsweredOutcome,
  type ChatMessage,
  extractNewMessages,
  type Outcome,
  worstCaseTokens,
} from "@toucantrestle/program";
import type { AnswerSink, CompleteRequest } from "@toucantrestle/sibling";
import type { ModelPolicy } from "@toucantrestle/table";
import { NotFoundError, RequestError, toProblem } from "@toucantrestle/verdict";
import {
  type CompletionIds,
  writeOutcome,
  writeOutcomeAsStream,
  writeStreamEnd,
  writeStreamProblem,
} from "./answers.ts";
import { type CallContext, requireLedger } from "./call_context.ts";
import type { CallPlan, CallResult, CallRunner } from "./call_runner.ts";
import { CrashGuard, goneError } from "./crash_guard.ts";
import type { Placement } from "./dispatch_desk.ts";
import type { OwnedShard } from "./owned_shard.ts";
import { UNPROCESSABLE_STATUS } from "./isolation.ts";
import { watchForStall } from "./stall_watch.ts";
import { isUnsent, tryUpstreams } from "./try_upstreams.ts";

const MAX_TRIES = 4;
const DOWN_MS = 2_000;
/** Bulk work runs after foreground work on an engine. */
const ENGINE_PRIORITIES = { foreground: 0, bulk: 10 } as const;

/** A try of a model call on one engine. */
interface Try {
  placement: Placement;
  startedAt: number;
  firstTokenAt: number | undefined;
}

/** Runs one model call, over several engines when they fail. */
export class ModelCall {
  readonly #ctx: CallContext;
  readonly #runner: CallRunner;
  readonly #shard: OwnedShard;
  readonly #caller: string;
  readonly #request: CompleteRequest;
  readonly #sink: AnswerSink;
  readonly #ids: CompletionIds;
  readonly #excluded: string[] = [];
  readonly #deadlineAt: number;
  #plan: CallPlan | undefined;
  /** Output of all tries so far. */
  #text = "";
  #tokens = 0;

  constructor(
    opts: {
      ctx: CallContext;
      runner: CallRunner;
      shard: OwnedShard;
      caller: string;
      request: CompleteRequest;
      sink: AnswerSink;
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
    this.#deadlineAt = opts.ctx.timer.now() + this.#model().deadlineMs;
  }

  /**
   * Runs the call and writes its answer.
   *
   * @throws {RequestError} when it failed before the answer began
   */
  async run(): Promise<void> {
    this.#ctx.isolation.checkAllowed(this.#request.fingerprint);
    const plan = this.#createPlan();
    this.#plan = plan;
    const started = this.#runner.start(plan);
    if (started.kind === "earlier") {
      this.#writeEarlier(await started.outcome);
      return;
    }
    try {
      this.#writeNew(await started.outcome);
    } catch (err) {
      if (!this.#sink.hasStarted) throw err;
      this.#ctx.pieces.flush(this.#sink);
      writeStreamProblem(toProblem(err), this.#sink);
    }
  }

  #model(): ModelPolicy {
    const model = this.#ctx.table().models.get(this.#request.model);
    if (model) return model;
    throw new NotFoundError(`model "${this.#request.model}" is not known`);
  }

  #createPlan(): CallPlan {
    const { program, step, requestId, fingerprint } = this.#request;
    const ledger = requireLedger(this.#shard, program, this.#caller);
    const messages = extractNewMessages(ledger, this.#request.messages);
    const reservedTokens = worstCaseTokens(
      ledger,
      messages,
      this.#maxTokens(),
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
      expectedOutputTokens: Math.min(this.#maxTokens(), 256),
      messages,
      queueDeadlineAt: Math.min(
        this.#deadlineAt,
        timer.now() + queueDeadlineMs,
      ),
      run: (stepNumber, first) => this.#runTries(stepNumber, first),
    };
  }

  #maxTokens(): number {
    return this.#request.maxTokens ?? this.#model().maxOutputTokens;
  }

  #writeEarlier(outcome: Outcome): void {
    const write = this.#request.stream ? writeOutcomeAsStream : writeOutcome;
    write(outcome, this.#ids, this.#sink);
  }

  #writeNew(outcome: Outcome): void {
    if (this.#request.stream && this.#sink.hasStarted) {
      this.#ctx.pieces.flush(this.#sink);
      writeStreamEnd(outcome, this.#ids, this.#sink);
    } else this.#writeEarlier(outcome);
  }

  async #runTries(step: number, first: Placement): Promise<CallResult> {
    this.#ctx.retries.recordFirstAttempt(this.#ctx.table().system.retryShare);
    const { fingerprint, program } = this.#request;
    const guard = new CrashGuard(this.#ctx, {
      fingerprint,
      program,
      caller: this.#caller,
      deadlineAt: this.#deadlineAt,
    });
    const end = await tryUpstreams({
      first,
      maxTries: MAX_TRIES,
      runOnce: (placement) =>
        guard.run(placement, {
          run: () => this.#runOnce(step, placement),
          release: () => this.#runner.release(placement),
        }),
      mayRetry: (err) => this.#mayRetry(err),
      noteFailure: (placement, err) => this.#noteFailure(placement, err),
      placeAgain: () => this.#placeAgain(step),
    });
    return this.#resultOf(end);
  }

  #mayRetry(err: unknown): boolean {
    if (err instanceof RequestError && err.status === UNPROCESSABLE_STATUS) {
      return false;
    }
    const { timer, retries } = this.#ctx;
    return timer.now() < this.#deadlineAt && retries.tryConsume();
  }

  #noteFailure(placement: Placement, err: unknown): void {
    const { upstream } = placement;
    this.#excluded.push(upstream);
    this.#ctx.desk.dispatcher.markDown(
      upstream,
      this.#ctx.timer.now() + DOWN_MS,
    );
    this.#ctx.timeline.record({
      part: "call",
      kind: "call_retried",
      program: this.#request.program,
      request: this.#request.requestId,
      detail: err instanceof Error ? err.message : String(err),
    });
    if (!isUnsent(err) && !this.#sink.hasStarted) this.#startOver();
  }

  /** Nothing was shown yet: the next engine may begin anew. */
  #startOver(): void {
    this.#text = "";
    this.#tokens = 0;
  }

  async #placeAgain(step: number): Promise<Placement> {
    const plan = this.#plan as CallPlan;
    const work = this.#runner.createWork(plan, this.#unusable());
    const placement = await this.#ctx.desk.place(work);
    this.#ctx.journal.append(this.#shard, {
      kind: "call_retried",
      program: plan.program,
      step,
      upstream: placement.upstream,
    });
    return placement;
  }

  /** Engines that failed the call, or cannot continue what was shown. */
  #unusable(): string[] {
    if (this.#tokens === 0) return [...this.#excluded];
    const fixed = this.#ctx.upstreams.engines()
      .map((it) => it.name)
      .filter((name) => !this.#ctx.loads.canResume(name));
    return [...this.#excluded, ...fixed];
  }

  async #runOnce(
    step: number,
    placement: Placement,
  ): Promise<CompletionResult> {
    const { timer, upstreams } = this.#ctx;
    const engine = upstreams.engine(placement.upstream);
    const current: Try = {
      placement,
      startedAt: timer.now(),
      firstTokenAt: undefined,
    };
    const watch = watchForStall(timer, this.#deadlineAt);
    try {
      if (!engine) throw goneError(placement.upstream);
      const end = await engine.complete(this.#completionCall(step), {
        signal: watch.signal,
        onDelta: (delta) => {
          watch.touch();
          current.firstTokenAt ??= timer.now();
          this.#onDelta(delta);
        },
      });
      this.#finishTry(current, end);
      return end;
    } catch (err) {
      this.#runner.release(placement);
      throw err;
    } finally {
      watch.cancel();
    }
  }

  #completionCall(step: number) {
    const { program, requestId, model, extra } = this.#request;
    const ledger = requireLedger(this.#shard, program, this.#caller);
    const policy = this.#ctx.table().callers.get(this.#caller);
    return {
      requestId,
      program,
      step,
      model,
      messages: [...ledger.history, ...(this.#plan as CallPlan).messages],
      maxTokens: this.#maxTokens(),
      priority: ENGINE_PRIORITIES[policy?.class ?? "foreground"],
      continueFrom: this.#tokens,
      extra,
    };
  }

  #onDelta(delta: CompletionDelta): void {
    this.#text += delta.text;
    this.#tokens += delta.tokens;
    if (!this.#request.stream) return;
    if (!this.#sink.hasStarted) this.#sink.head(200, "text/event-stream");
    this.#ctx.pieces.add(this.#sink, delta.events);
  }

  #finishTry(current: Try, end: CompletionResult): void {
    const { timer, desk } = this.#ctx;
    const now = timer.now();
    const firstTokenAt = current.firstTokenAt ?? now;
    const usage = end.usage;
    desk.finished(current.placement.id, {
      now,
      upstream: current.placement.upstream,
      contextTokens: usage
        ? usage.prompt_tokens + usage.completion_tokens
        : undefined,
      cachedTokens: usage?.cached_tokens ?? 0,
      outputTokens: usage?.completion_tokens ?? 0,
      firstTokenMs: firstTokenAt - current.startedAt,
      decodeMs: now - firstTokenAt,
    });
  }

  #resultOf(end: CompletionResult): CallResult {
    const message: ChatMessage = { role: "assistant", content: this.#text };
    if (end.toolCalls) message.tool_calls = end.toolCalls;
    const outcome: AnsweredOutcome = {
      kind: "answered",
      status: 200,
      contentType: "application/json",
      body: "",
      message,
      finishReason: end.finishReason,
    };
    if (end.usage) outcome.usage = end.usage;
    const spentTokens = end.usage
      ? end.usage.prompt_tokens + end.usage.completion_tokens
      : (this.#plan as CallPlan).request.reservedTokens;
    return { outcome, spentTokens };
  }
}

/** Rough size of new messages, for placing the call. */
function estimateTokens(messages: ChatMessage[]): number {
  const BYTES_PER_TOKEN = 4;
  let sum = 0;
  for (const { content } of messages) sum += content.length / BYTES_PER_TOKEN;
  return Math.ceil(sum);
}
