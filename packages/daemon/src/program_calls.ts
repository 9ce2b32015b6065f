import {
  availableTokens,
  type Ledger,
  nextStep,
  reservedTokens,
} from "@toucantrestle/program";
import type {
  CallerRequest,
  CompleteRequest,
  EndRequest,
  FetchStepRequest,
  ResponseSink,
  ServiceRequest,
  ShowRequest,
  StartRequest,
} from "@toucantrestle/sibling";
import type { CallerPolicy } from "@toucantrestle/table";
import {
  BudgetError,
  ConflictError,
  ForbiddenError,
  NotFoundError,
} from "@toucantrestle/verdict";
import { writeOutcome } from "./outcome_writer.ts";
import { type CallContext, requireLedger } from "./call_context.ts";
import { CallRunner } from "./call_runner.ts";
import { createRelocatedError } from "./errors.ts";
import type { ChildBudgets } from "./child_budgets.ts";
import { ModelCall } from "./model_call.ts";
import type { OwnedShard } from "./owned_shard.ts";
import type { Reaper } from "./reaper.ts";
import { ServiceCall } from "./service_call.ts";

/** A caller's request, with the shard that owns its program. */
interface OwnedCall<R extends CallerRequest> {
  shard: OwnedShard;
  caller: string;
  request: R;
  sink: ResponseSink;
}

type Handlers = {
  [K in CallerRequest["kind"]]: (
    call: OwnedCall<Extract<CallerRequest, { kind: K }>>,
  ) => Promise<void>;
};

const IN_FLIGHT_RETRY_AFTER_MS = 500;

/** Serves callers' requests on the daemon that owns their program. */
export class ProgramCalls {
  readonly #ctx: CallContext;
  readonly #runner: CallRunner;
  readonly #childBudgets: ChildBudgets;
  readonly #reaper: Reaper;
  readonly #handlers: Handlers = {
    start: (call) => this.#start(call),
    complete: (call) => this.#complete(call),
    service: (call) => this.#service(call),
    end: (call) => this.#end(call),
    show: (call) => this.#show(call),
    fetch_step: (call) => this.#fetchStep(call),
  };

  constructor(
    opts: { ctx: CallContext; childBudgets: ChildBudgets; reaper: Reaper },
  ) {
    this.#ctx = opts.ctx;
    this.#runner = new CallRunner(opts.ctx);
    this.#childBudgets = opts.childBudgets;
    this.#reaper = opts.reaper;
  }

  /** Serves a request and writes the response to its sink. */
  async serve(call: OwnedCall<CallerRequest>): Promise<void> {
    const handler = this.#handlers[call.request.kind] as (
      call: OwnedCall<CallerRequest>,
    ) => Promise<void>;
    await handler(call);
  }

  async #start(call: OwnedCall<StartRequest>): Promise<void> {
    const { shard, caller, request, sink } = call;
    const existing = shard.ledgers.get(request.program);
    if (!existing) await this.#create(call, request);
    else if (existing.caller !== caller) {
      throw new NotFoundError(`program "${request.program}" is not known`);
    } else await this.#ctx.journal.commitAll(shard);
    const ledger = requireLedger(shard, request.program, caller);
    writeJson(sink, existing ? 200 : 201, describeLedger(ledger));
  }

  async #create(
    { shard, caller }: OwnedCall<CallerRequest>,
    request: StartRequest,
  ): Promise<void> {
    if (shard.state !== "serving") {
      throw createRelocatedError(shard.shard, "not_run");
    }
    this.#ctx.journal.checkCapacity();
    const policy = this.#getPolicy(caller);
    const budgetTokens = resolveBudget(request, policy);
    if (request.parent !== undefined) {
      await this.#childBudgets.reserve({
        parent: request.parent,
        child: request.program,
        caller,
        tokens: budgetTokens,
      });
    }
    await this.#ctx.journal.commit(shard, {
      kind: "program_started",
      program: request.program,
      caller,
      requestId: request.requestId,
      parent: request.parent,
      budgetTokens,
      turnLimit: policy.turnLimit,
      idleLimitMs: policy.idleLimitMs,
      at: this.#ctx.timer.now(),
    });
    this.#recordEvent("program_started", request.program, `caller ${caller}`);
  }

  async #complete(call: OwnedCall<CompleteRequest>): Promise<void> {
    const { shard, caller, request, sink } = call;
    if (request.isSingle && !shard.ledgers.has(request.program)) {
      await this.#create(call, {
        kind: "start",
        program: request.program,
        requestId: request.requestId,
        parent: undefined,
        budgetTokens: undefined,
      });
    }
    const deps = { ctx: this.#ctx, runner: this.#runner };
    await new ModelCall({ ...deps, shard, caller, request, sink }).run();
    if (request.isSingle) {
      await this.#reaper.endProgram(shard, request.program, "single_call");
    }
  }

  async #service(call: OwnedCall<ServiceRequest>): Promise<void> {
    const runner = this.#runner;
    await new ServiceCall({ ...call, ctx: this.#ctx, runner }).run();
  }

  async #end(call: OwnedCall<EndRequest>): Promise<void> {
    const { shard, caller, request, sink } = call;
    const ledger = requireLedger(shard, request.program, caller);
    if (shard.callsInFlight.has(request.program)) {
      throw new ConflictError(
        `a call of program ${request.program} is still in flight`,
        { props: { retryAfterMs: IN_FLIGHT_RETRY_AFTER_MS } },
      );
    }
    if (shard.state !== "serving") {
      throw createRelocatedError(shard.shard, "not_run");
    }
    if (ledger.state === "running") {
      await this.#reaper.endProgram(shard, request.program, "deleted");
    } else await this.#ctx.journal.commitAll(shard);
    const endedLedger = requireLedger(shard, request.program, caller);
    writeJson(sink, 200, describeLedger(endedLedger));
  }

  async #show(call: OwnedCall<ShowRequest>): Promise<void> {
    const { shard, caller, request, sink } = call;
    requireLedger(shard, request.program, caller);
    await this.#ctx.journal.commitAll(shard);
    const ledger = requireLedger(shard, request.program, caller);
    writeJson(sink, 200, describeLedger(ledger));
  }

  async #fetchStep(call: OwnedCall<FetchStepRequest>): Promise<void> {
    const { shard, caller, request, sink } = call;
    const ledger = requireLedger(shard, request.program, caller);
    const finishedStep = ledger.steps[request.step - 1];
    if (!finishedStep) {
      throw new NotFoundError(
        `step ${request.step} of program ${request.program} has not finished yet`,
        { props: { retryAfterMs: IN_FLIGHT_RETRY_AFTER_MS } },
      );
    }
    await this.#ctx.journal.commitAll(shard);
    const id = `${request.program}:${finishedStep.requestId}`;
    writeOutcome(finishedStep.outcome, { id, model: "" }, sink);
  }

  #getPolicy(caller: string): CallerPolicy {
    const policy = this.#ctx.table().callers.get(caller);
    if (policy) return policy;
    throw new ForbiddenError(`caller ${caller} is not defined in the table`);
  }

  #recordEvent(kind: string, program: string, detail: string): void {
    this.#ctx.timeline.record({ part: "program", kind, program, detail });
  }
}

/** Returns the state of a program in the format of the callers' API. */
export function describeLedger(ledger: Ledger) {
  return {
    program: ledger.program,
    state: ledger.state,
    end_reason: ledger.endReason,
    parent: ledger.parent,
    next_step: nextStep(ledger),
    budget_tokens: ledger.budgetTokens,
    spent_tokens: ledger.spentTokens,
    reserved_tokens: reservedTokens(ledger),
    available_tokens: availableTokens(ledger),
    messages: ledger.history.length,
    steps: ledger.steps.map((step) => ({
      request_id: step.requestId,
      verdict: step.outcome.kind === "answered"
        ? "ran"
        : step.outcome.problem.verdict,
    })),
  };
}

function resolveBudget(request: StartRequest, policy: CallerPolicy): number {
  const requested = request.budgetTokens ?? policy.budgetTokens;
  if (requested <= policy.budgetTokens) return requested;
  throw new BudgetError(
    `caller ${policy.name} may give a program at most ${policy.budgetTokens} tokens, got ${requested}`,
  );
}

function writeJson(sink: ResponseSink, status: number, body: unknown): void {
  sink.head({ status, contentType: "application/json" });
  sink.data(JSON.stringify(body));
  sink.end();
}
