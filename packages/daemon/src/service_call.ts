import type { ServiceResponse } from "@toucantrestle/service";
import type { Outcome } from "@toucantrestle/program";
import type { ResponseSink, ServiceRequest } from "@toucantrestle/sibling";
import type { RoutePolicy } from "@toucantrestle/table";
import {
  NotFoundError,
  TimeoutError,
  type Verdict,
} from "@toucantrestle/verdict";
import { sleep } from "@toucantrestle/timer";
import { writeOutcome } from "./outcome_writer.ts";
import type { CallContext } from "./call_context.ts";
import type { CallPlan, CallResult, CallRunner } from "./call_runner.ts";
import { createUpstreamUnavailableError } from "./crash_guard.ts";
import type { Placement } from "./placement_queue.ts";
import type { OwnedShard } from "./owned_shard.ts";
import { downTimeMs, hasNotRunVerdict, tryUpstreams } from "./try_upstreams.ts";

const MAX_ATTEMPTS = 3;
/**
 * If an attempt fails and is retried elsewhere, its service gets no new calls for
 * this time.
 */
const SERVICE_DOWN_MS = 1_000;
/**
 * A non-idempotent call is kept open for this many times its deadline, so that
 * a late response can still be recorded.
 */
const LATE_RESPONSE_DEADLINE_FACTOR = 10;

/** Runs a call of a service route. */
export class ServiceCall {
  readonly #ctx: CallContext;
  readonly #runner: CallRunner;
  readonly #shard: OwnedShard;
  readonly #caller: string;
  readonly #request: ServiceRequest;
  readonly #sink: ResponseSink;
  readonly #excludedUpstreams: string[] = [];
  #plan: CallPlan | undefined;

  constructor(
    opts: {
      ctx: CallContext;
      runner: CallRunner;
      shard: OwnedShard;
      caller: string;
      request: ServiceRequest;
      sink: ResponseSink;
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
   * Runs the call and writes its response.
   *
   * @throws {RequestError} if it failed, with the verdict
   */
  async run(): Promise<void> {
    const plan = this.#createPlan();
    this.#plan = plan;
    const { outcome } = this.#runner.start(plan);
    const ids = { id: this.#request.requestId, model: "" };
    writeOutcome(await outcome, ids, this.#sink);
  }

  #getRoute(): RoutePolicy {
    const route = this.#ctx.table().routes.get(this.#request.route);
    if (route) return route;
    throw new NotFoundError(`unknown route "${this.#request.route}"`);
  }

  #createPlan(): CallPlan {
    const { program, step, requestId, fingerprint } = this.#request;
    const route = this.#getRoute();
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
      run: (stepNumber, firstPlacement) =>
        this.#runAttempts(stepNumber, firstPlacement),
    };
  }

  async #runAttempts(
    step: number,
    firstPlacement: Placement,
  ): Promise<CallResult> {
    const route = this.#getRoute();
    this.#ctx.retryBudget.recordFirstAttempt(
      this.#ctx.table().system.retryShare,
    );
    const response = await tryUpstreams({
      first: firstPlacement,
      maxAttempts: MAX_ATTEMPTS,
      runOnce: (placement) => this.#runOnce(step, placement, route),
      mayRetry: (err) =>
        (route.idempotent || hasNotRunVerdict(err)) &&
        this.#ctx.retryBudget.tryConsume(),
      recordFailure: (placement, err) => this.#recordFailure(placement, err),
      placeRetry: () => this.#placeRetry(step),
    });
    return { outcome: createOutcome(response), spentTokens: route.costTokens };
  }

  #recordFailure({ upstream }: Placement, err: unknown): void {
    const { placementQueue, timer } = this.#ctx;
    this.#excludedUpstreams.push(upstream);
    const downMs = downTimeMs(err, SERVICE_DOWN_MS);
    placementQueue.dispatcher.markDown(upstream, timer.now() + downMs);
  }

  async #placeRetry(step: number): Promise<Placement> {
    const plan = this.#plan as CallPlan;
    const work = this.#runner.createWorkItem(plan, [
      ...this.#excludedUpstreams,
    ]);
    const placement = await this.#ctx.placementQueue.waitForPlacement(work);
    await this.#ctx.journal.commit(this.#shard, {
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
      this.#runner.releasePlacement(placement);
      throw createUpstreamUnavailableError(placement.upstream);
    }
    const { program, requestId, body } = this.#request;
    const response = service.call({
      requestId,
      program,
      step,
      route: route.name,
      body,
      deadlineMs: route.deadlineMs *
        (route.idempotent ? 1 : LATE_RESPONSE_DEADLINE_FACTOR),
    }).finally(() => this.#runner.releasePlacement(placement));
    const timeout = sleep(timer, route.deadlineMs).then(() => undefined);
    const responseInTime = await Promise.race([response, timeout]);
    if (responseInTime) return responseInTime;
    if (!route.idempotent) this.#reportLateResponse(step, response);
    else response.catch(() => {});
    const verdict: Verdict = "may_have_run";
    throw new TimeoutError(
      `service ${placement.upstream} did not answer within ${route.deadlineMs} ms`,
      { props: { verdict } },
    );
  }

  #reportLateResponse(step: number, response: Promise<ServiceResponse>): void {
    const { program, requestId } = this.#request;
    response.then((lateResponse) => {
      const outcome = createOutcome(lateResponse);
      this.#ctx.reportLateOutcome({ program, step, requestId, outcome });
    }, () => {});
  }
}

function createOutcome(response: ServiceResponse): Outcome {
  return {
    kind: "answered",
    status: response.status,
    contentType: response.contentType,
    body: response.body,
    ...(response.endsWithConnection ? { endsWithConnection: true } : {}),
  };
}
