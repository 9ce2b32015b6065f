import {
  BudgetError,
  ConflictError,
  type RequestError,
} from "@toucantrestle/verdict";
import { availableTokens, type Ledger, nextStep } from "./ledger.ts";
import {
  type ChatMessage,
  maxTokensOfMessage,
  sameMessage,
} from "./message.ts";
import type { Outcome } from "./record.ts";

/** A call as its caller asks for it. Tokens are the worst case. */
export interface CallRequest {
  step: number | undefined;
  requestId: string;
  fingerprint: string;
  reservedTokens: number;
}

/** What is to be done with a call. */
export type Admission =
  | { kind: "run"; step: number }
  /** The step has its outcome already. */
  | { kind: "repeat"; outcome: Outcome }
  /** The same request is in progress: wait for its outcome. */
  | { kind: "join" }
  | { kind: "refuse"; error: RequestError };

/**
 * Decides on a call of a program: one call at a time, in the order of steps,
 * within the budget.
 */
export function admitCall(ledger: Ledger, call: CallRequest): Admission {
  const earlier = findEarlier(ledger, call);
  if (earlier) return earlier;
  if (ledger.state === "ended") {
    return refuse(
      new ConflictError(
        `program ${ledger.program} has ended: ${ledger.endReason}`,
      ),
    );
  }
  const expected = nextStep(ledger);
  const step = call.step ?? expected;
  if (step !== expected) {
    return refuse(
      new ConflictError(
        `step ${step} is out of order: the next step of program ${ledger.program} is ${expected}`,
      ),
    );
  }
  if (ledger.pending) {
    return refuse(
      new ConflictError(
        `step ${ledger.pending.step} of program ${ledger.program} is in progress under another request`,
      ),
    );
  }
  if (step > ledger.turnLimit) {
    return refuse(
      new ConflictError(
        `program ${ledger.program} is at its limit of ${ledger.turnLimit} turns`,
      ),
    );
  }
  const available = availableTokens(ledger);
  if (call.reservedTokens > available) {
    return refuse(
      new BudgetError(
        `the call may cost ${call.reservedTokens} tokens and program ${ledger.program} has ${available} left`,
      ),
    );
  }
  return { kind: "run", step };
}

/**
 * Splits a request's messages into those that are kept already and the new
 * ones. A request may carry the whole list, if it continues the history.
 *
 * @returns the new messages
 */
export function newMessages(
  ledger: Ledger,
  messages: ChatMessage[],
): ChatMessage[] {
  const { history } = ledger;
  if (history.length === 0 || messages.length <= history.length) {
    return messages;
  }
  const continues = history.every((kept, index) => {
    const given = messages[index];
    return given !== undefined && sameMessage(kept, given);
  });
  return continues ? messages.slice(history.length) : messages;
}

/** Worst case of a model call in tokens: the whole prompt and the output. */
export function worstCaseTokens(
  ledger: Ledger,
  messages: ChatMessage[],
  maxOutputTokens: number,
): number {
  let sum = ledger.historyTokens + maxOutputTokens;
  for (const message of messages) sum += maxTokensOfMessage(message);
  return sum;
}

function findEarlier(ledger: Ledger, call: CallRequest): Admission | undefined {
  const { pending } = ledger;
  if (pending?.requestId === call.requestId) {
    return sameContent(pending.fingerprint, call, { kind: "join" });
  }
  const finished = ledger.steps.find((it) => it.requestId === call.requestId) ??
    stepWithoutOwnRequest(ledger, call);
  if (!finished) return undefined;
  return sameContent(finished.fingerprint, call, {
    kind: "repeat",
    outcome: finished.outcome,
  });
}

/** A repeat of a finished step under a new request id. */
function stepWithoutOwnRequest(ledger: Ledger, call: CallRequest) {
  if (call.step === undefined) return undefined;
  return ledger.steps[call.step - 1];
}

function sameContent(
  fingerprint: string,
  call: CallRequest,
  admission: Admission,
): Admission {
  if (fingerprint === call.fingerprint) return admission;
  return refuse(
    new ConflictError(
      `request ${call.requestId} repeats a step with other content`,
    ),
  );
}

function refuse(error: RequestError): Admission {
  return { kind: "refuse", error };
}
