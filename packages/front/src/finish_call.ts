import type { TurnStoreClient } from "@toucantrestle/turn_store";
import { abortResponse, respond, respondFailed } from "./responses.ts";
import type { AttemptResult } from "./attempt.ts";
import type { Call } from "./call.ts";
import { reserveEnd, writeResponseHead } from "./response_head.ts";
import type { TurnState } from "./turn_state.ts";

/** Options of `finishCall`, for a call with a complete upstream response. */
export interface FinishOptions {
  call: Call;
  /** Undefined if the call is not a turn. */
  turn: TurnState | undefined;
  turnStore: TurnStoreClient;
  /** Id of the upstream that served the call. */
  upstream: string;
  result: Extract<AttemptResult, { kind: "complete" }>;
}

/** Persists the turn, if any, and then sends the rest of the response. */
export async function finishCall(opts: FinishOptions): Promise<void> {
  const { call, turn, upstream } = opts;
  const { res } = call;
  const { head, unsentBody, received } = opts.result;
  const isCompletedTurn = head.status === 200 && turn !== undefined;
  if (isCompletedTurn && !await turn.persist(upstream)) {
    respondNotPersisted(call, opts.turnStore);
    return;
  }
  // The front may have answered the call while the turn was persisted.
  if (res.writableEnded) return;
  if (!res.headersSent) {
    const isEventStream = isCompletedTurn;
    if (!reserveEnd(res, head, { isEventStream })) {
      return respondFailed(call, "end of the response cannot be marked");
    }
    writeResponseHead(res, head, { isEventStream, isWhole: true });
  }
  turn?.settle();
  if (unsentBody.length > 0) res.write(unsentBody);
  res.end();
  call.recorder.recordOutcome("answered", {
    status: head.status,
    verdict: "ran",
    reason: `answered by ${upstream}`,
    received,
  });
}

/** Fails the call: a turn that may not be persisted must not look complete. */
function respondNotPersisted(call: Call, turnStore: TurnStoreClient): void {
  call.recorder.record("not_kept", "the finished turn cannot be kept", {
    view: turnStore.view?.number,
    reachesTurnStores: turnStore.isQuorumReachable,
  });
  const reason = "finished turn could not be persisted";
  if (call.res.headersSent) abortResponse(call, reason);
  else respond(call, { status: 502, verdict: "may_have_run", reason });
}
