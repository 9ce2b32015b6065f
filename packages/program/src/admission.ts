import {
  BudgetError,
  ConflictError,
  type RequestError,
} from "@toucantrestle/verdict";
import { availableTokens, type Ledger, nextStep } from "./ledger.ts";
import {
  type ChatMessage,
  isSameMessage,
  maxMessageTokens,
} from "./message.ts";
import type { Outcome } from "./record.ts";

/**
 * A call as requested by its caller. `reservedTokens` is the worst-case cost.
 */
export interface CallRequest {
  step: number | undefined;
  requestId: string;
  fingerprint: string;
  reservedTokens: number;
}

/** Result of the admission check of a call. */
export type Admission =
  | { kind: "run"; step: number }
  /** The step has already finished: return its recorded outcome. */
  | { kind: "repeat"; outcome: Outcome }
  /** The same request is in flight: wait for its outcome. */
  | { kind: "join" }
  | { kind: "refuse"; error: RequestError };

/**
 * Decides whether a call of a program is admitted. A program runs one call at a
 * time, in step order and within its token budget and turn limit.
 */
export function admitCall(ledger: Ledger, call: CallRequest): Admission {
  const earlierAttempt = findEarlierAttempt(ledger, call);
  if (earlierAttempt) return earlierAttempt;
  if (ledger.state === "ended") {
    return refuse(
      new ConflictError(
        `program ${ledger.program} has ended (reason: ${ledger.endReason})`,
      ),
    );
  }
  const expected = nextStep(ledger);
  const step = call.step ?? expected;
  if (step !== expected) {
    return refuse(
      new ConflictError(
        `step ${step} is out of order: program ${ledger.program} expects step ${expected}`,
      ),
    );
  }
  if (ledger.pending) {
    return refuse(
      new ConflictError(
        `step ${ledger.pending.step} of program ${ledger.program} is already in flight for another request`,
      ),
    );
  }
  if (step > ledger.turnLimit) {
    return refuse(
      new ConflictError(
        `program ${ledger.program} has reached its limit of ${ledger.turnLimit} turns`,
      ),
    );
  }
  const available = availableTokens(ledger);
  if (call.reservedTokens > available) {
    return refuse(
      new BudgetError(
        `call may cost up to ${call.reservedTokens} tokens but program ${ledger.program} has ${available} tokens available`,
      ),
    );
  }
  return { kind: "run", step };
}

/**
 * Returns the messages of a request that are not yet in the program's history.
 * A request may carry either the complete conversation, which must start with
 * the history, or the new messages only.
 */
export function extractNewMessages(
  ledger: Ledger,
  messages: ChatMessage[],
): ChatMessage[] {
  const { history } = ledger;
  if (history.length === 0 || messages.length <= history.length) {
    return messages;
  }
  const isContinuation = history.every((stored, index) => {
    const received = messages[index];
    return received !== undefined && isSameMessage(stored, received);
  });
  return isContinuation ? messages.slice(history.length) : messages;
}

/**
 * Returns the worst-case cost of a model call in tokens: the complete prompt
 * and the maximum output.
 */
export function worstCaseTokens(
  ledger: Ledger,
  messages: ChatMessage[],
  maxOutputTokens: number,
): number {
  let total = ledger.historyTokens + maxOutputTokens;
  for (const message of messages) total += maxMessageTokens(message);
  return total;
}

function findEarlierAttempt(
  ledger: Ledger,
  call: CallRequest,
): Admission | undefined {
  const { pending } = ledger;
  if (pending?.requestId === call.requestId) {
    return admitIfSameContent(pending.fingerprint, call, { kind: "join" });
  }
  const finished = ledger.steps.find((it) => it.requestId === call.requestId) ??
    findStepByNumber(ledger, call);
  if (!finished) return undefined;
  return admitIfSameContent(finished.fingerprint, call, {
    kind: "repeat",
    outcome: finished.outcome,
  });
}

/** Finds a finished step that is repeated under a new request id. */
function findStepByNumber(ledger: Ledger, call: CallRequest) {
  if (call.step === undefined) return undefined;
  return ledger.steps[call.step - 1];
}

function admitIfSameContent(
  fingerprint: string,
  call: CallRequest,
  admission: Admission,
): Admission {
  if (fingerprint === call.fingerprint) return admission;
  return refuse(
    new ConflictError(
      `request ${call.requestId} repeats a step with different content`,
    ),
  );
}

function refuse(error: RequestError): Admission {
  return { kind: "refuse", error };
}
