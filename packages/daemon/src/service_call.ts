import type { ServiceResponse } from "@toucantrestle/service";
import type { Outcome } from "@toucantrestle/program";
import type { AnswerSink, ServiceRequest } from "@toucantrestle/sibling";
import type { RoutePolicy } from "@toucantrestle/table";
import {
  NotFoundError,
  TimeoutError,
  type Verdict,
} from "@toucantrestle/verdict";
import { sleep } from "@toucantrestle/timer";
import { writeOutcome } from "./answers.ts";
import type { CallContext } from "./call_context.ts";
import type { CallPlan, CallResult, CallRunner } from "./call_runner.ts";
import { goneError } from "./crash_guard.ts";
import type { Placement } from "./dispatch_desk.ts";
import type { OwnedShard } from "./owned_shard.ts";
import { isUnsent, tryUpstreams } from "./try_upstreams.ts";

const MAX_TRIES = 3;
const DOWN_MS = 1_000;
/** A late answer is waited for this much longer than the deadline. */
const LATE_FACTOR = 10;

/** Runs one call of a service route. */
export class ServiceCall {
  readonly #ctx: CallContext;
  readonly #runner: CallRunner;
  readonly #shard: OwnedShard;
  readonly #caller: string;
  readonly #request: ServiceRequest;
  readonly #sink: AnswerSink;
  readonly #excluded: string[] = [];
  #plan: CallPlan | undefined;

  constructor(
    opts: {
      ctx: CallContext;
      runner: CallRunner;
      shard: OwnedShard;
      caller: string;
      request: ServiceRequest;
      sink: AnswerSink;
    },
  ) {
    this.#ctx = opts.ctx;
    this.#runner = opts.runner;
    this.#shard = opts.shard;
    this.#caller = opts.caller;
    this.#request = opts.request;
    this.#sink = opts.sink;
  }

  /**
   * Runs the call and writes its answer.
   *
   * @throws {RequestError} when it failed, with the verdict
   */
  async run(): Promise<void> {
    const plan = this.#createPlan();
    this.#plan = plan;
    const { outcome } = this.#runner.start(plan);
    const ids = { id: this.#request.requestId, model: "" };
    writeOutcome(await outcome, ids, this.#sink);
  }

  #route(): RoutePolicy {
    const route = this.#ctx.table().routes.get(this.#request.route);
    if (route) return route;
    throw new NotFoundError(`route "${this.#request.route}" is not known`);
  }

  #createPlan(): CallPlan {
    const { program, step, requestId, fingerprint } = this.#request;
    const route = this.#route();
    const { timer, table } = this.#ctx;
    return {
      shard: this.#shard,
      program,
      caller: this.#caller,
      request: {
        step,
        requestId,
        fingerprint,
        reservedTokens: route.costTokens,
      },
      upstreamKind: "service",
      target: this.#request.route,
      idempotent: route.idempotent,
      promptTokens: 0,
      expectedOutputTokens: 0,
      messages: [],
      queueDeadlineAt: timer.now() + table().system.queueDeadlineMs,
      run: (stepNumber, first) => this.#runTries(stepNumber, first),
    };
  }

  async #runTries(step: number, first: Placement): Promise<CallResult> {
    const route = this.#route();
    this.#ctx.retries.recordFirstAttempt(this.#ctx.table().system.retryShare);
    const answer = await tryUpstreams({
      first,
      maxTries: MAX_TRIES,
      runOnce: (placement) => this.#runOnce(step, placement, route),
      mayRetry: (err) =>
        (route.idempotent || isUnsent(err)) && this.#ctx.retries.tryConsume(),
      noteFailure: (placement) => this.#noteFailure(placement),
      placeAgain: () => this.#placeAgain(step),
    });
    return { outcome: outcomeOf(answer), spentTokens: route.costTokens };
  }

  #noteFailure({ upstream }: Placement): void {
    const { desk, timer } = this.#ctx;
    this.#excluded.push(upstream);
    desk.dispatcher.markDown(upstream, timer.now() + DOWN_MS);
  }

  async #placeAgain(step: number): Promise<Placement> {
    const plan = this.#plan as CallPlan;
    const work = this.#runner.createWork(plan, [...this.#excluded]);
    const placement = await this.#ctx.desk.place(work);
    await this.#ctx.journal.keep(this.#shard, {
      kind: "call_retried",
      program: plan.program,
      step,
      upstream: placement.upstream,
    });
    return placement;
  }

  async #runOnce(
    step: number,
    placement: Placement,
    route: RoutePolicy,
  ): Promise<ServiceResponse> {
    const { upstreams, timer } = this.#ctx;
    const service = upstreams.service(placement.upstream);
    if (!service) {
      this.#runner.release(placement);
      throw goneError(placement.upstream);
    }
    const { program, requestId, body } = this.#request;
    const answer = service.call({
      requestId,
      program,
      step,
      route: route.name,
      body,
      deadlineMs: route.deadlineMs * (route.idempotent ? 1 : LATE_FACTOR),
    }).finally(() => this.#runner.release(placement));
    const timeout = sleep(timer, route.deadlineMs).then(() => undefined);
    const first = await Promise.race([answer, timeout]);
    if (first) return first;
    if (!route.idempotent) this.#awaitLate(step, answer);
    else answer.catch(() => {});
    const verdict: Verdict = "may_have_run";
    throw new TimeoutError(
      `service ${placement.upstream} did not answer within ${route.deadlineMs} ms`,
      { props: { verdict } },
    );
  }

  #awaitLate(step: number, answer: Promise<ServiceResponse>): void {
    const { program, requestId } = this.#request;
    answer.then((late) => {
      const outcome = outcomeOf(late);
      this.#ctx.reportLate({ program, step, requestId, outcome });
    }, () => {});
  }
}

function outcomeOf(answer: ServiceResponse): Outcome {
  return {
    kind: "answered",
    status: answer.status,
    contentType: answer.contentType,
    body: answer.body,
  };
}
