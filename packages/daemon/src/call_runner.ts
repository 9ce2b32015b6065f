import {
  type Admission,
  admitCall,
  availableTokens,
  type CallAccepted,
  type CallRequest,
  type Ledger,
  type Outcome,
  type UpstreamKind,
} from "@toucantrestle/program";
import type { WorkItem } from "@toucantrestle/policy";
import {
  BudgetError,
  ConflictError,
  toProblem,
  UnavailableError,
  type Verdict,
} from "@toucantrestle/verdict";
import { type CallContext, requireLedger } from "./call_context.ts";
import type { Placement } from "./placement_queue.ts";
import { createRelocatedError, isRelocated } from "./errors.ts";
import type { OwnedShard } from "./owned_shard.ts";
import { withMayHaveRunVerdict } from "./try_upstreams.ts";

const PERSIST_FAILURE_RETRY_AFTER_MS = 1_000;

/** Result of running a call. */
export interface CallResult {
  outcome: Outcome;
  spentTokens: number;
}

/** A call to run, with the data that each attempt needs. */
export interface CallPlan {
  shard: OwnedShard;
  program: string;
  caller: string;
  request: CallRequest;
  upstreamKind: UpstreamKind;
  /** Name of the model or route. */
  target: string;
  idempotent: boolean;
  promptTokens: number;
  expectedOutputTokens: number;
  messages: CallAccepted["messages"];
  /** Latest time to wait for an upstream, in ms since the epoch. */
  queueDeadlineAt: number;
  /** Runs the call, including retries, starting with its first placement. */
  run(step: number, firstPlacement: Placement): Promise<CallResult>;
}

/** Outcome of a new call, or of an earlier request that the call repeats. */
export type StartedCall =
  | { kind: "new"; outcome: Promise<Outcome> }
  | { kind: "earlier"; outcome: Promise<Outcome> };

/**
 * Runs the calls of programs in step order. A call is admitted and placed, its
 * intent is persisted, the call is sent, and its outcome is persisted before it
 * is returned.
 */
export class CallRunner {
  readonly #ctx: CallContext;
  #nextWorkNumber = 1;

  constructor(ctx: CallContext) {
    this.#ctx = ctx;
  }

  /**
   * Starts a call, or joins the call that it repeats.
   *
   * @throws {RequestError} if the call is refused
   */
  start(plan: CallPlan): StartedCall {
    const { requestId } = plan.request;
    const ledger = requireLedger(plan.shard, plan.program, plan.caller);
    const wasInterrupted = ledger.interrupted.includes(requestId);
    if (!wasInterrupted) return this.#admit(plan, ledger);
    try {
      const started = this.#admit(plan, ledger);
      return { ...started, outcome: replaceNotRunVerdict(started.outcome) };
    } catch (err) {
      throw withMayHaveRunVerdict(err, true);
    }
  }

  #admit(plan: CallPlan, ledger: Ledger): StartedCall {
    const { shard, request } = plan;
    const running = shard.callsInFlight.get(plan.program);
    if (running) return { kind: "earlier", outcome: joinCall(running, plan) };
    const admission = admitCall(ledger, request);
    switch (admission.kind) {
      case "refuse":
        throw admission.error;
      case "repeat":
        return {
          kind: "earlier",
          outcome: this.#returnRecordedOutcome(shard, admission),
        };
      case "join":
        throw createRelocatedError(shard.shard, "may_have_run");
      case "run": {
        if (shard.state !== "serving") {
          throw createRelocatedError(shard.shard, "not_run");
        }
        const outcome = this.#runAdmitted(plan, admission.step);
        this.#trackAttempt(plan, outcome);
        return { kind: "new", outcome };
      }
    }
  }

  /** Creates the work item that is queued for an upstream. */
  createWorkItem(plan: CallPlan, excluded: readonly string[]): WorkItem {
    const { timer, table } = this.#ctx;
    const policy = table().callers.get(plan.caller);
    const ledger = plan.shard.ledgers.get(plan.program);
    return {
      id: `w${this.#nextWorkNumber++}`,
      program: plan.program,
      caller: plan.caller,
      kind: plan.upstreamKind,
      target: plan.target,
      class: policy?.class ?? "foreground",
      weight: policy?.weight ?? 1,
      promptTokens: plan.promptTokens,
      expectedOutputTokens: plan.expectedOutputTokens,
      attainedTokens: ledger?.spentTokens ?? 0,
      programStartedAt: ledger?.startedAt ?? timer.now(),
      enqueuedAt: timer.now(),
      deadlineAt: plan.queueDeadlineAt,
      excluded,
      dataCentres: policy?.dataCentres ?? [],
    };
  }

  #trackAttempt(plan: CallPlan, outcome: Promise<Outcome>): void {
    const { shard, program, request } = plan;
    shard.callsInFlight.set(program, {
      requestId: request.requestId,
      fingerprint: request.fingerprint,
      outcome,
    });
    const removeAttempt = () => shard.callsInFlight.delete(program);
    outcome.then(removeAttempt, removeAttempt);
  }

  async #returnRecordedOutcome(
    shard: OwnedShard,
    admission: Extract<Admission, { kind: "repeat" }>,
  ): Promise<Outcome> {
    await this.#ctx.journal.commitAll(shard);
    return admission.outcome;
  }

  async #runAdmitted(plan: CallPlan, step: number): Promise<Outcome> {
    const { journal, placementQueue } = this.#ctx;
    const { shard, program, request } = plan;
    journal.checkCapacity();
    const placement = await placementQueue.waitForPlacement(
      this.createWorkItem(plan, []),
    );
    try {
      if (shard.state === "lost") {
        throw createRelocatedError(shard.shard, "not_run");
      }
      checkBudget(requireLedger(shard, program, plan.caller), request);
      await this.#persistIntentOrCancel(plan, step, placement);
    } catch (err) {
      this.releasePlacement(placement);
      throw err;
    }
    this.#recordEvent(plan, "call_sent", placement.upstream);
    const result = await this.#runCatchingErrors(plan, step, placement);
    try {
      await journal.commit(shard, {
        kind: "call_finished",
        program,
        step,
        requestId: request.requestId,
        outcome: result.outcome,
        spentTokens: result.spentTokens,
        at: this.#ctx.timer.now(),
      });
    } catch (err) {
      this.#reportLateOutcome(plan, step, result.outcome);
      throw err;
    }
    this.#recordEvent(plan, "call_finished", describeOutcome(result.outcome));
    return result.outcome;
  }

  /**
   * Reports the outcome to the shard's new owner if the shard was lost while the
   * call ran.
   */
  #reportLateOutcome(plan: CallPlan, step: number, outcome: Outcome): void {
    if (plan.idempotent || outcome.kind !== "answered") return;
    const { requestId } = plan.request;
    const { program } = plan;
    this.#ctx.reportLateOutcome({ program, step, requestId, outcome });
  }

  /**
   * Releases a placement that was not used, or whose call has ended without
   * usage figures.
   */
  releasePlacement(placement: Placement): void {
    this.#ctx.placementQueue.recordFinished(placement.id, {
      now: this.#ctx.timer.now(),
      upstream: placement.upstream,
      contextTokens: undefined,
      cachedTokens: 0,
      outputTokens: 0,
      firstTokenMs: 0,
      decodeMs: 0,
    });
  }

  /**
   * Persists the intent, which must precede sending. If that fails, appends a
   * `not_run` outcome to the journal, so that the step can be run again.
   */
  async #persistIntentOrCancel(
    plan: CallPlan,
    step: number,
    placement: Placement,
  ): Promise<void> {
    try {
      await this.#persistIntent(plan, step, placement);
    } catch (err) {
      if (isRelocated(err)) throw err;
      const persistError = createPersistError(plan);
      this.#ctx.journal.append(plan.shard, {
        kind: "call_finished",
        program: plan.program,
        step,
        requestId: plan.request.requestId,
        outcome: { kind: "failed", problem: toProblem(persistError) },
        spentTokens: 0,
        at: this.#ctx.timer.now(),
      });
      throw persistError;
    }
  }

  async #persistIntent(
    plan: CallPlan,
    step: number,
    placement: Placement,
  ): Promise<void> {
    const { request, shard } = plan;
    await this.#ctx.journal.commit(shard, {
      kind: "call_accepted",
      program: plan.program,
      step,
      requestId: request.requestId,
      upstreamKind: plan.upstreamKind,
      upstream: placement.upstream,
      idempotent: plan.idempotent,
      fingerprint: request.fingerprint,
      reservedTokens: request.reservedTokens,
      messages: plan.messages,
      at: this.#ctx.timer.now(),
    });
  }

  async #runCatchingErrors(
    plan: CallPlan,
    step: number,
    placement: Placement,
  ): Promise<CallResult> {
    try {
      return await plan.run(step, placement);
    } catch (err) {
      if (isRelocated(err)) throw err;
      const problem = toProblem(err);
      const hasNotRun = problem.verdict === "not_run";
      return {
        outcome: { kind: "failed", problem },
        spentTokens: hasNotRun ? 0 : plan.request.reservedTokens,
      };
    }
  }

  #recordEvent(plan: CallPlan, kind: string, detail: string): void {
    this.#ctx.timeline.record({
      part: "call",
      kind,
      program: plan.program,
      request: plan.request.requestId,
      detail,
    });
  }
}

function joinCall(
  running: {
    requestId: string;
    fingerprint: string;
    outcome: Promise<Outcome>;
  },
  plan: CallPlan,
): Promise<Outcome> {
  const { request } = plan;
  if (running.requestId !== request.requestId) {
    throw new ConflictError(
      `another call of program ${plan.program} is already in flight`,
    );
  }
  if (running.fingerprint !== request.fingerprint) {
    throw new ConflictError(
      `request ${request.requestId} repeats a step with different content`,
    );
  }
  return running.outcome;
}

/**
 * Replaces the verdict `not_run` by `may_have_run`, since an earlier attempt of
 * the request may have run.
 */
async function replaceNotRunVerdict(
  outcome: Promise<Outcome>,
): Promise<Outcome> {
  try {
    return toMayHaveRun(await outcome);
  } catch (err) {
    throw withMayHaveRunVerdict(err, true);
  }
}

function toMayHaveRun(outcome: Outcome): Outcome {
  if (outcome.kind === "answered") return outcome;
  const { problem } = outcome;
  if (problem.verdict !== "not_run") return outcome;
  return { kind: "failed", problem: { ...problem, verdict: "may_have_run" } };
}

function createPersistError(plan: CallPlan) {
  const verdict: Verdict = "not_run";
  return new UnavailableError(
    `shard ${plan.shard.shard} cannot persist records at the moment`,
    { props: { verdict, retryAfterMs: PERSIST_FAILURE_RETRY_AFTER_MS } },
  );
}

/** Checks the budget again: it may have shrunk while the call was queued. */
function checkBudget(ledger: Ledger, request: CallRequest): void {
  const available = availableTokens(ledger);
  if (request.reservedTokens <= available) return;
  throw new BudgetError(
    `call may cost up to ${request.reservedTokens} tokens but program ${ledger.program} has ${available} tokens available`,
  );
}

function describeOutcome(outcome: Outcome): string {
  if (outcome.kind === "answered") return `answered ${outcome.status}`;
  return `failed: ${outcome.problem.detail} (${outcome.problem.verdict})`;
}
