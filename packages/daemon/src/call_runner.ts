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
import type { Placement } from "./dispatch_desk.ts";
import { isRelocated, relocated } from "./errors.ts";
import type { OwnedShard } from "./owned_shard.ts";
import { withVerdict } from "./try_upstreams.ts";

const UNKEPT_RETRY_MS = 1_000;

/** What running one call on a placed upstream gave. */
export interface CallResult {
  outcome: Outcome;
  spentTokens: number;
}

/** A call that was admitted, with what each try needs. */
export interface CallPlan {
  shard: OwnedShard;
  program: string;
  caller: string;
  request: CallRequest;
  upstreamKind: UpstreamKind;
  /** Model or route. */
  target: string;
  idempotent: boolean;
  promptTokens: number;
  expectedOutputTokens: number;
  messages: CallAccepted["messages"];
  /** Time until which it may wait for an upstream, in ms since the epoch. */
  queueDeadlineAt: number;
  /** Runs the call from its first placement to its end. */
  run(step: number, first: Placement): Promise<CallResult>;
}

/** Admission of a call, or the outcome that another request has or gets. */
export type Started =
  | { kind: "new"; outcome: Promise<Outcome> }
  | { kind: "earlier"; outcome: Promise<Outcome> };

/**
 * Runs calls in the order of their program: admits, places, keeps the intent,
 * sends, and keeps the outcome before anybody is told.
 */
export class CallRunner {
  readonly #ctx: CallContext;
  #nextWork = 1;

  constructor(ctx: CallContext) {
    this.#ctx = ctx;
  }

  /**
   * Starts a call, or joins the one that it repeats.
   *
   * @throws {RequestError} when it is refused
   */
  start(plan: CallPlan): Started {
    const { requestId } = plan.request;
    const ledger = requireLedger(plan.shard, plan.program, plan.caller);
    const wasInterrupted = ledger.interrupted.includes(requestId);
    if (!wasInterrupted) return this.#start(plan, ledger);
    try {
      const started = this.#start(plan, ledger);
      return { ...started, outcome: neverUnsent(started.outcome) };
    } catch (err) {
      throw withVerdict(err, true);
    }
  }

  #start(plan: CallPlan, ledger: Ledger): Started {
    const { shard, request } = plan;
    const running = shard.attempts.get(plan.program);
    if (running) return { kind: "earlier", outcome: join(running, plan) };
    const admission = admitCall(ledger, request);
    switch (admission.kind) {
      case "refuse":
        throw admission.error;
      case "repeat":
        return { kind: "earlier", outcome: this.#repeat(shard, admission) };
      case "join":
        throw relocated(shard.shard, "may_have_run");
      case "run": {
        if (shard.state !== "serving") throw relocated(shard.shard, "not_run");
        const outcome = this.#run(plan, admission.step);
        this.#track(plan, outcome);
        return { kind: "new", outcome };
      }
    }
  }

  /** Makes the work that the dispatcher places. */
  createWork(plan: CallPlan, excluded: readonly string[]): WorkItem {
    const { timer, table } = this.#ctx;
    const policy = table().callers.get(plan.caller);
    const ledger = plan.shard.ledgers.get(plan.program);
    return {
      id: `w${this.#nextWork++}`,
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

  #track(plan: CallPlan, outcome: Promise<Outcome>): void {
    const { shard, program, request } = plan;
    shard.attempts.set(program, {
      requestId: request.requestId,
      fingerprint: request.fingerprint,
      outcome,
    });
    const untrack = () => shard.attempts.delete(program);
    outcome.then(untrack, untrack);
  }

  async #repeat(
    shard: OwnedShard,
    admission: Extract<Admission, { kind: "repeat" }>,
  ): Promise<Outcome> {
    await this.#ctx.journal.keepAll(shard);
    return admission.outcome;
  }

  async #run(plan: CallPlan, step: number): Promise<Outcome> {
    const { journal, desk } = this.#ctx;
    const { shard, program, request } = plan;
    journal.checkRoom();
    const placement = await desk.place(this.createWork(plan, []));
    try {
      if (shard.state === "lost") throw relocated(shard.shard, "not_run");
      checkBudget(requireLedger(shard, program, plan.caller), request);
      await this.#accept(plan, step, placement);
    } catch (err) {
      this.release(placement);
      throw err;
    }
    this.#record(plan, "call_sent", placement.upstream);
    const result = await this.#runSafely(plan, step, placement);
    try {
      await journal.keep(shard, {
        kind: "call_finished",
        program,
        step,
        requestId: request.requestId,
        outcome: result.outcome,
        spentTokens: result.spentTokens,
        at: this.#ctx.timer.now(),
      });
    } catch (err) {
      this.#passOn(plan, step, result.outcome);
      throw err;
    }
    this.#record(plan, "call_finished", describe(result.outcome));
    return result.outcome;
  }

  /** The shard was lost while the call ran: its new owner learns the result. */
  #passOn(plan: CallPlan, step: number, outcome: Outcome): void {
    if (plan.idempotent || outcome.kind !== "answered") return;
    const { requestId } = plan.request;
    const { program } = plan;
    this.#ctx.reportLate({ program, step, requestId, outcome });
  }

  /** Frees a placement that was not used, or whose call has ended. */
  release(placement: Placement): void {
    this.#ctx.desk.finished(placement.id, {
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
   * Keeps the intent; nothing is sent before. An intent that is not kept in
   * time is taken back in the journal, so that its step stays open.
   */
  async #accept(
    plan: CallPlan,
    step: number,
    placement: Placement,
  ): Promise<void> {
    try {
      await this.#keepIntent(plan, step, placement);
    } catch (err) {
      if (isRelocated(err)) throw err;
      const unsent = unsentError(plan);
      this.#ctx.journal.append(plan.shard, {
        kind: "call_finished",
        program: plan.program,
        step,
        requestId: plan.request.requestId,
        outcome: { kind: "failed", problem: toProblem(unsent) },
        spentTokens: 0,
        at: this.#ctx.timer.now(),
      });
      throw unsent;
    }
  }

  async #keepIntent(
    plan: CallPlan,
    step: number,
    placement: Placement,
  ): Promise<void> {
    const { request, shard } = plan;
    await this.#ctx.journal.keep(shard, {
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

  async #runSafely(
    plan: CallPlan,
    step: number,
    placement: Placement,
  ): Promise<CallResult> {
    try {
      return await plan.run(step, placement);
    } catch (err) {
      if (isRelocated(err)) throw err;
      const problem = toProblem(err);
      const isUnsent = problem.verdict === "not_run";
      return {
        outcome: { kind: "failed", problem },
        spentTokens: isUnsent ? 0 : plan.request.reservedTokens,
      };
    }
  }

  #record(plan: CallPlan, kind: string, detail: string): void {
    this.#ctx.timeline.record({
      part: "call",
      kind,
      program: plan.program,
      request: plan.request.requestId,
      detail,
    });
  }
}

function join(
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
      `another call of program ${plan.program} is in progress`,
    );
  }
  if (running.fingerprint !== request.fingerprint) {
    throw new ConflictError(
      `request ${request.requestId} repeats a step with other content`,
    );
  }
  return running.outcome;
}

/** An earlier try of the request may have run: a refusal says so. */
async function neverUnsent(outcome: Promise<Outcome>): Promise<Outcome> {
  try {
    return admitting(await outcome);
  } catch (err) {
    throw withVerdict(err, true);
  }
}

function admitting(outcome: Outcome): Outcome {
  if (outcome.kind === "answered") return outcome;
  const { problem } = outcome;
  if (problem.verdict !== "not_run") return outcome;
  return { kind: "failed", problem: { ...problem, verdict: "may_have_run" } };
}

function unsentError(plan: CallPlan) {
  const verdict: Verdict = "not_run";
  return new UnavailableError(
    `shard ${plan.shard.shard} can keep no records now`,
    { props: { verdict, retryAfterMs: UNKEPT_RETRY_MS } },
  );
}

/** The budget may have shrunk while the call waited. */
function checkBudget(ledger: Ledger, request: CallRequest): void {
  const available = availableTokens(ledger);
  if (request.reservedTokens <= available) return;
  throw new BudgetError(
    `the call may cost ${request.reservedTokens} tokens and program ${ledger.program} has ${available} left`,
  );
}

function describe(outcome: Outcome): string {
  if (outcome.kind === "answered") return `answered ${outcome.status}`;
  return `failed: ${outcome.problem.detail} (${outcome.problem.verdict})`;
}
