import { refuseCall, respond } from "./responses.ts";
import type { Call } from "./call.ts";
import { CallQuota } from "./call_quota.ts";
import { CallRunner } from "./call_runner.ts";
import type { ServeOptions } from "./serve_options.ts";
import { isResumption } from "./stream_origin.ts";
import { currentHints } from "./turn_hints.ts";
import { type TurnStartFailure, TurnState } from "./turn_state.ts";
import { UpstreamChoice } from "./upstream_choice.ts";

/** Responses to a call whose turn cannot start. */
const START_FAILURE_RESPONDERS: Record<TurnStartFailure, (call: Call) => void> =
  {
    budget_spent: (call) =>
      respond(call, {
        status: 402,
        verdict: "not_run",
        reason: "token budget of the program is spent",
      }),
    no_such_turn: (call) =>
      respond(call, {
        status: 404,
        verdict: "not_run",
        reason: "previous turn does not exist",
      }),
    origin_unknown: (call) => refuseCall(call, "origin_unknown"),
    unknown: (call) => refuseCall(call, "turns_unknown"),
  };

/** Serves a call until its response is complete, refused or aborted. */
export async function serveCall(call: Call, opts: ServeOptions): Promise<void> {
  const { organisation } = call;
  const quota = organisation?.quota &&
    new CallQuota(call, { ...organisation, quota: organisation.quota }, opts);
  if (quota && !await quota.admit()) return;
  const turn = call.route.kind === "streaming"
    ? new TurnState({ store: opts.turnStore, call })
    : undefined;
  const choice = new UpstreamChoice(call, turn, opts);
  try {
    if (await admitCall(call, { turn, choice, opts })) {
      await new CallRunner(call, { turn, choice, quota, opts }).run();
    }
  } finally {
    turn?.settle();
    quota?.release();
  }
}

/** Returns whether the call may run; if not, answers it. */
async function admitCall(
  call: Call,
  { turn, choice, opts }: {
    turn: TurnState | undefined;
    choice: UpstreamChoice;
    opts: ServeOptions;
  },
): Promise<boolean> {
  const { crashSuspicions } = opts;
  const refusal = crashSuspicions.isEmpty
    ? undefined
    : crashSuspicions.refusalOf(call.fingerprint);
  if (refusal) {
    refuseCall(call, refusal);
    return false;
  }
  if (isResumption(call) && call.route.keepsTurns) {
    // The turn would be kept without the events that the caller has already.
    refuseCall(call, "events_unknown");
    return false;
  }
  const startFailure = await turn?.prepare(
    call.route.isResumable ? choice.likely() : undefined,
  );
  if (!opts.disabled.has("prompt_hints")) {
    applyHints(turn, opts);
  }
  if (call.isAbandoned) return false;
  if (!startFailure) {
    if (isResumption(call)) continueAtOrigin(call, turn, opts);
    return true;
  }
  call.recorder.record(
    "not_started",
    `the turn does not start: ${startFailure}`,
    {
      previousTurn: call.head.previousTurn,
      resumeAfter: call.head.lastEventId,
      resumedRequest: call.head.resumedRequest,
      view: opts.turnStore.view?.number,
      reachesTurnStores: opts.turnStore.isQuorumReachable,
      budget: call.head.tokenBudget,
    },
  );
  START_FAILURE_RESPONDERS[startFailure](call);
  return false;
}

/** Learns from the hints which processes have cached prompts of the program. */
function applyHints(turn: TurnState | undefined, opts: ServeOptions): void {
  if (!turn) return;
  turn.hints = currentHints(turn.hints, opts.upstreamRegistry);
  for (const { parts, upstream } of turn.hints) {
    opts.prefixIndex.recordPrefill(upstream, parts);
  }
}

/**
 * Sends a resumed stream to the service that began it, if its route may. Its
 * origin may name a process whose entry has not been read here.
 */
function continueAtOrigin(
  call: Call,
  turn: TurnState | undefined,
  { upstreamRegistry }: ServeOptions,
): void {
  const origin = turn?.origin;
  if (!origin) return;
  const { service, upstream: id, startedAt, softwareVersion } = origin;
  if (startedAt !== undefined) {
    upstreamRegistry.recordRestart({ id, startedAt }, softwareVersion);
  }
  const isAllowed = call.route.services.some((it) => it.service === service);
  if (isAllowed) call.service = service;
}
