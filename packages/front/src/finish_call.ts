import type { TurnStoreClient } from "@toucantrestle/turn_store";
import { answerCall, breakOff } from "./answers.ts";
import type { AttemptResult } from "./attempt.ts";
import type { Call } from "./call.ts";
import { answerHeaders } from "./headers.ts";
import type { TurnState } from "./turn_state.ts";

/** A call whose upstream has answered it to the end. */
export interface FinishOptions {
  call: Call;
  /** Undefined where the call is no turn. */
  turn: TurnState | undefined;
  turns: TurnStoreClient;
  /** Upstream that answered. */
  upstream: string;
  result: Extract<AttemptResult, { kind: "complete" }>;
}

/** Hands over the end of a complete answer, once its turn is kept. */
export async function finishCall(opts: FinishOptions): Promise<void> {
  const { call, turn, upstream } = opts;
  const { res } = call;
  const { head, rest } = opts.result;
  const isWholeTurn = head.status === 200 && turn !== undefined;
  if (isWholeTurn && !await turn.keep(upstream)) {
    answerNotKept(call, opts.turns);
    return;
  }
  if (!res.headersSent) {
    res.writeHead(head.status, answerHeaders(head, turn !== undefined));
  }
  turn?.settle();
  for (const part of rest) res.write(part);
  res.end();
  call.trail.end("answered", {
    status: head.status,
    verdict: "ran",
    reason: `answered by ${upstream}`,
  });
}

/** A turn that is not surely kept must not look complete. */
function answerNotKept(call: Call, turns: TurnStoreClient): void {
  call.trail.note("not_kept", "the finished turn cannot be kept", {
    view: turns.view?.number,
    reachesTurnStores: turns.isUsable,
  });
  const reason = "the turn is not kept";
  if (call.res.headersSent) breakOff(call, reason);
  else answerCall(call, { status: 502, verdict: "may_have_run", reason });
}
