import type { ChatMessage } from "./message.ts";
import type { EndReason, Outcome, UpstreamKind } from "./record.ts";

/** A finished step with its recorded outcome. */
export interface FinishedStep {
  requestId: string;
  fingerprint: string;
  outcome: Outcome;
}

/** The call of a program that is in flight; there is at most one. */
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

/** Part of the token budget that is reserved for a sub-agent. */
export interface ChildReservation {
  child: string;
  reservedTokens: number;
  settled: boolean;
}

/** State of one program. Budgets are in tokens, times in milliseconds. */
export interface Ledger {
  program: string;
  caller: string;
  requestId: string;
  parent: string | undefined;
  state: "running" | "ended";
  endReason: EndReason | undefined;
  budgetTokens: number;
  /** Tokens spent by finished calls and settled sub-agents. */
  spentTokens: number;
  turnLimit: number;
  idleLimitMs: number;
  /** Finished steps; step n is at index n - 1. */
  steps: FinishedStep[];
  pending: PendingCall | undefined;
  /** Ids of failed requests of the open step that may have run in part. */
  interrupted: string[];
  history: ChatMessage[];
  /** Exact token count of the history, as last reported by an engine. */
  historyTokens: number;
  /** Engines that may have cached data of the program. */
  engines: string[];
  children: ChildReservation[];
  parentSettled: boolean;
  startedAt: number;
  lastActiveAt: number;
}

/** Returns the step number that the program's next call must carry. */
export function nextStep(ledger: Ledger): number {
  return ledger.steps.length + 1;
}

/** Returns the tokens reserved for the pending call and running sub-agents. */
export function reservedTokens(ledger: Ledger): number {
  let total = ledger.pending?.reservedTokens ?? 0;
  for (const reservation of ledger.children) {
    if (!reservation.settled) total += reservation.reservedTokens;
  }
  return total;
}

/** Returns the tokens that are neither spent nor reserved. */
export function availableTokens(ledger: Ledger): number {
  return ledger.budgetTokens - ledger.spentTokens - reservedTokens(ledger);
}
