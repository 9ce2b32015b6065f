import type { Ledger } from "./ledger.ts";
import type {
  CallAccepted,
  CallFinished,
  ChildReserved,
  ChildSettled,
  JournalRecord,
  MemoryReleased,
  Outcome,
  ProgramStarted,
} from "./record.ts";

/** All ledgers of a shard, by program id. */
export type Ledgers = Map<string, Ledger>;

type Handlers = {
  [K in JournalRecord["kind"]]: (
    ledgers: Ledgers,
    record: Extract<JournalRecord, { kind: K }>,
  ) => void;
};

const HANDLERS: Handlers = {
  program_started: startProgram,
  call_accepted: withLedger(acceptCall),
  call_retried: withLedger((ledger, record) => {
    if (!ledger.pending) return;
    ledger.pending.upstream = record.upstream;
    if (ledger.pending.upstreamKind === "engine") {
      addEngine(ledger, record.upstream);
    }
  }),
  call_finished: withLedger(finishCall),
  program_ended: withLedger((ledger, record) => {
    ledger.state = "ended";
    ledger.endReason = record.reason;
    ledger.lastActiveAt = record.at;
  }),
  memory_released: withLedger(releaseMemory),
  child_reserved: withLedger(reserveChild),
  child_settled: withLedger(settleChild),
  parent_settled: withLedger((ledger) => {
    ledger.parentSettled = true;
  }),
  program_restored: (ledgers, record) => {
    ledgers.set(record.program, structuredClone(record.ledger));
  },
  program_forgotten: (ledgers, record) => {
    ledgers.delete(record.program);
  },
};

/**
 * Applies one journal record to the ledgers of its shard. The owner of the
 * shard applies a record when it appends it. A successor that replays the same
 * records in the same order obtains identical ledgers.
 */
export function applyRecord(ledgers: Ledgers, record: JournalRecord): void {
  const handler = HANDLERS[record.kind] as (
    ledgers: Ledgers,
    record: JournalRecord,
  ) => void;
  handler(ledgers, record);
}

/**
 * Whether an outcome completes its step. After a failed call the step stays
 * open for a retry, unless the call is not idempotent and may have run.
 */
export function completesStep(outcome: Outcome, idempotent: boolean): boolean {
  if (outcome.kind === "answered") return true;
  if (idempotent) return false;
  return outcome.problem.verdict !== "not_run";
}

function withLedger<R extends JournalRecord>(
  update: (ledger: Ledger, record: R) => void,
): (ledgers: Ledgers, record: R) => void {
  return (ledgers, record) => {
    const ledger = ledgers.get(record.program);
    if (ledger) update(ledger, record);
  };
}

function startProgram(ledgers: Ledgers, record: ProgramStarted): void {
  if (ledgers.has(record.program)) return;
  ledgers.set(record.program, {
    program: record.program,
    caller: record.caller,
    requestId: record.requestId,
    parent: record.parent,
    state: "running",
    endReason: undefined,
    budgetTokens: record.budgetTokens,
    spentTokens: 0,
    turnLimit: record.turnLimit,
    idleLimitMs: record.idleLimitMs,
    steps: [],
    pending: undefined,
    interrupted: [],
    history: [],
    historyTokens: 0,
    engines: [],
    children: [],
    parentSettled: record.parent === undefined,
    startedAt: record.at,
    lastActiveAt: record.at,
  });
}

function acceptCall(ledger: Ledger, record: CallAccepted): void {
  ledger.pending = {
    step: record.step,
    requestId: record.requestId,
    fingerprint: record.fingerprint,
    upstreamKind: record.upstreamKind,
    upstream: record.upstream,
    idempotent: record.idempotent,
    reservedTokens: record.reservedTokens,
    messages: record.messages,
  };
  ledger.lastActiveAt = record.at;
  if (record.upstreamKind === "engine") addEngine(ledger, record.upstream);
}

function finishCall(ledger: Ledger, record: CallFinished): void {
  const pending = ledger.pending;
  if (pending?.step === record.step) {
    finishPendingCall(ledger, record);
    return;
  }
  // A late response replaces a recorded failure (`may_have_run`) by the result.
  const finished = ledger.steps[record.step - 1];
  if (finished?.outcome.kind !== "failed") return;
  finished.outcome = record.outcome;
}

function finishPendingCall(ledger: Ledger, record: CallFinished): void {
  const pending = ledger.pending;
  if (!pending) return;
  ledger.pending = undefined;
  ledger.spentTokens += record.spentTokens;
  ledger.lastActiveAt = record.at;
  const { outcome } = record;
  if (!completesStep(outcome, pending.idempotent)) {
    recordInterruptedRequest(ledger, record);
    return;
  }
  ledger.interrupted = [];
  ledger.steps.push({
    requestId: pending.requestId,
    fingerprint: pending.fingerprint,
    outcome,
  });
  if (outcome.kind !== "answered" || !outcome.message) return;
  ledger.history.push(...pending.messages, outcome.message);
  const usage = outcome.usage;
  if (usage) {
    ledger.historyTokens = usage.prompt_tokens + usage.completion_tokens;
  }
}

function recordInterruptedRequest(ledger: Ledger, record: CallFinished): void {
  const { outcome, requestId } = record;
  const mayHaveRun = outcome.kind === "failed" &&
    outcome.problem.verdict !== "not_run";
  if (mayHaveRun && !ledger.interrupted.includes(requestId)) {
    ledger.interrupted.push(requestId);
  }
}

function releaseMemory(ledger: Ledger, record: MemoryReleased): void {
  ledger.engines = ledger.engines.filter((name) => name !== record.upstream);
}

function reserveChild(ledger: Ledger, record: ChildReserved): void {
  if (ledger.children.some((it) => it.child === record.child)) return;
  ledger.children.push({
    child: record.child,
    reservedTokens: record.tokens,
    settled: false,
  });
}

function settleChild(ledger: Ledger, record: ChildSettled): void {
  const reservation = ledger.children.find((it) => it.child === record.child);
  if (!reservation || reservation.settled) return;
  reservation.settled = true;
  ledger.spentTokens += record.spentTokens;
}

function addEngine(ledger: Ledger, upstream: string): void {
  if (!ledger.engines.includes(upstream)) ledger.engines.push(upstream);
}
