import type { ChatMessage } from "./message.ts";
import type { EndReason, Outcome, UpstreamKind } from "./record.ts";

/** A step whose outcome is final. */
export interface FinishedStep {
  requestId: string;
  fingerprint: string;
  outcome: Outcome;
}

/** The one call of a program that is in progress. */
export interface PendingCall {
  step: number;
  requestId: string;
  fingerprint: string;
  upstreamKind: UpstreamKind;
  upstream: string;
  idempotent: boolean;
  reservedTokens: number;
  messages: ChatMessage[];
}

/** A sub-agent's share of the budget. */
export interface ChildShare {
  child: string;
  reservedTokens: number;
  settled: boolean;
}

/** State of one program. Budgets in tokens, times in ms. */
export interface Ledger {
  program: string;
  caller: string;
  requestId: string;
  parent: string | undefined;
  state: "running" | "ended";
  endReason: EndReason | undefined;
  budgetTokens: number;
  /** Spent by finished calls and settled sub-agents. */
  spentTokens: number;
  turnLimit: number;
  idleLimitMs: number;
  /** Finished steps; step n stands at index n - 1. */
  steps: FinishedStep[];
  pending: PendingCall | undefined;
  /** Requests that may have run in part, for a step that is still open. */
  interrupted: string[];
  history: ChatMessage[];
  /** Exact token count of the history as an engine last reported it. */
  historyTokens: number;
  /** Engines that may hold cache for the program. */
  engines: string[];
  children: ChildShare[];
  parentSettled: boolean;
  startedAt: number;
  lastActiveAt: number;
}

/** Step number that the program's next call must carry. */
export function nextStep(ledger: Ledger): number {
  return ledger.steps.length + 1;
}

/** Tokens reserved for the call in progress and for running sub-agents. */
export function reservedTokens(ledger: Ledger): number {
  let sum = ledger.pending?.reservedTokens ?? 0;
  for (const share of ledger.children) {
    if (!share.settled) sum += share.reservedTokens;
  }
  return sum;
}

/** Tokens that can still be reserved. */
export function availableTokens(ledger: Ledger): number {
  return ledger.budgetTokens - ledger.spentTokens - reservedTokens(ledger);
}
