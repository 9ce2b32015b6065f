import {
  applyRecord,
  type JournalRecord,
  type Ledger,
  type Ledgers,
} from "../src/mod.ts";

/** Creates the record of a started program. */
export function programStarted(
  program: string,
  budgetTokens = 1_000,
): Extract<JournalRecord, { kind: "program_started" }> {
  return {
    kind: "program_started",
    program,
    caller: "alice",
    requestId: `start-${program}`,
    parent: undefined,
    budgetTokens,
    turnLimit: 10,
    idleLimitMs: 1_000,
    at: 0,
  };
}

/** Creates the record of an accepted call. */
export function callAccepted(
  program: string,
  step: number,
  opts: { idempotent?: boolean; reserved?: number } = {},
): Extract<JournalRecord, { kind: "call_accepted" }> {
  return {
    kind: "call_accepted",
    program,
    step,
    requestId: `r${step}`,
    upstreamKind: "engine",
    upstream: "engine-1",
    idempotent: opts.idempotent ?? true,
    fingerprint: `f${step}`,
    reservedTokens: opts.reserved ?? 100,
    messages: [{ role: "user", content: `question ${step}` }],
    at: step,
  };
}

/** Creates the record of a call that finished with a response. */
export function callAnswered(
  program: string,
  step: number,
  spentTokens = 50,
): Extract<JournalRecord, { kind: "call_finished" }> {
  return {
    kind: "call_finished",
    program,
    step,
    requestId: `r${step}`,
    outcome: {
      kind: "answered",
      status: 200,
      contentType: "application/json",
      body: "",
      message: { role: "assistant", content: `answer ${step}` },
      usage: { prompt_tokens: 30, completion_tokens: 20, cached_tokens: 0 },
    },
    spentTokens,
    at: step,
  };
}

/** Creates the record of a call that failed. */
export function callFailed(
  program: string,
  step: number,
  verdict: "not_run" | "may_have_run",
): Extract<JournalRecord, { kind: "call_finished" }> {
  return {
    ...callAnswered(program, step, 0),
    outcome: {
      kind: "failed",
      problem: {
        type: "about:blank",
        title: "UpstreamError",
        status: 502,
        detail: "upstream request failed",
        verdict,
      },
    },
  };
}

/** Applies records to an empty shard and returns the ledger of one program. */
export function buildLedger(
  program: string,
  records: JournalRecord[],
): Ledger {
  const ledgers: Ledgers = new Map();
  for (const record of records) applyRecord(ledgers, record);
  return ledgers.get(program) as Ledger;
}
