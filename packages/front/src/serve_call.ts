import { answerCall, refuseCall } from "./answers.ts";
import type { Call } from "./call.ts";
import { CallRun } from "./call_run.ts";
import type { ServeOptions } from "./serve_options.ts";
import { type TurnObstacle, TurnState } from "./turn_state.ts";

/** How a call is answered when its turn cannot run. */
const OBSTACLE_ANSWERS: Record<TurnObstacle, (call: Call) => void> = {
  budget_spent: (call) =>
    answerCall(call, {
      status: 402,
      verdict: "not_run",
      reason: "the program's budget is spent",
    }),
  no_such_turn: (call) =>
    answerCall(call, {
      status: 404,
      verdict: "not_run",
      reason: "the turn before does not exist",
    }),
  unknown: (call) => refuseCall(call, "turns_unknown"),
};

/** Serves one call from the choice of an upstream to its answer. */
export async function serveCall(call: Call, opts: ServeOptions): Promise<void> {
  const turn = call.route.kind === "streaming"
    ? new TurnState({ store: opts.turns, call })
    : undefined;
  try {
    if (await passObstacles(call, turn, opts)) {
      await new CallRun(call, turn, opts).run();
    }
  } finally {
    turn?.settle();
  }
}

/** Answers a call that cannot run; true when nothing stands in its way. */
async function passObstacles(
  call: Call,
  turn: TurnState | undefined,
  opts: ServeOptions,
): Promise<boolean> {
  if (opts.crashes.isConvicted(call.fingerprint, opts.timer.steady())) {
    refuseCall(call, "convicted");
    return false;
  }
  const obstacle = await turn?.prepare();
  for (const { parts, upstream } of turn?.hints ?? []) {
    opts.caches.note(upstream, parts);
  }
  if (call.isAbandoned) return false;
  if (!obstacle) return true;
  call.trail.note("not_started", `the turn does not start: ${obstacle}`, {
    previousTurn: call.head.previousTurn,
    view: opts.turns.view?.number,
    reachesTurnStores: opts.turns.isUsable,
    budget: call.head.tokenBudget,
  });
  OBSTACLE_ANSWERS[obstacle](call);
  return false;
}
