import type { Problem } from "@toucantrestle/verdict";
import type { Ledger } from "./ledger.ts";
import type { ChatMessage, Usage } from "./message.ts";

/** Kind of upstream a call goes to. */
export type UpstreamKind = "engine" | "service";

/** Final result of a call, as its caller is told. */
export type Outcome = AnsweredOutcome | FailedOutcome;

/** The upstream answered. */
export interface AnsweredOutcome {
  kind: "answered";
  status: number;
  contentType: string;
  /** Body as the service sent it; empty for a model call. */
  body: string;
  /** The assistant's message, for a model call. */
  message?: ChatMessage;
  /** Why the engine stopped, for a model call. */
  finishReason?: string;
  usage?: Usage;
}

/** The call failed; the problem carries the verdict. */
export interface FailedOutcome {
  kind: "failed";
  problem: Problem;
}

/** Why a program ended. */
export type EndReason = "deleted" | "idle" | "turn_limit" | "single_call";

/** A program was started. Budget in tokens. Times in ms. */
export interface ProgramStarted {
  kind: "program_started";
  program: string;
  caller: string;
  requestId: string;
  parent: string | undefined;
  budgetTokens: number;
  turnLimit: number;
  idleLimitMs: number;
  at: number;
}

/**
 * A call is about to be sent: its worst case is reserved. For a call that is
 * not idempotent this is the intent that allows it to be sent once.
 */
export interface CallAccepted {
  kind: "call_accepted";
  program: string;
  step: number;
  requestId: string;
  upstreamKind: UpstreamKind;
  upstream: string;
  idempotent: boolean;
  fingerprint: string;
  reservedTokens: number;
  /** Messages that the call adds to the history. */
  messages: ChatMessage[];
  at: number;
}

/** An idempotent call is sent again, to another upstream. */
export interface CallRetried {
  kind: "call_retried";
  program: string;
  step: number;
  upstream: string;
}

/** A call has its outcome. */
export interface CallFinished {
  kind: "call_finished";
  program: string;
  step: number;
  requestId: string;
  outcome: Outcome;
  spentTokens: number;
  at: number;
}

/** A program ended. */
export interface ProgramEnded {
  kind: "program_ended";
  program: string;
  reason: EndReason;
  at: number;
}

/** An engine confirmed that it holds nothing for the program. */
export interface MemoryReleased {
  kind: "memory_released";
  program: string;
  upstream: string;
}

/** Part of a program's budget was carved out for a sub-agent. */
export interface ChildReserved {
  kind: "child_reserved";
  program: string;
  child: string;
  tokens: number;
}

/** A sub-agent ended and gave back what it did not spend. */
export interface ChildSettled {
  kind: "child_settled";
  program: string;
  child: string;
  spentTokens: number;
}

/** The parent's owner confirmed a sub-agent's settlement. */
export interface ParentSettled {
  kind: "parent_settled";
  program: string;
}

/** Whole state of a program, from a compaction. */
export interface ProgramRestored {
  kind: "program_restored";
  program: string;
  ledger: Ledger;
}

/** An ended program's ledger was dropped after its retention time. */
export interface ProgramForgotten {
  kind: "program_forgotten";
  program: string;
}

/** One record of a shard's journal. */
export type JournalRecord =
  | ProgramStarted
  | CallAccepted
  | CallRetried
  | CallFinished
  | ProgramEnded
  | MemoryReleased
  | ChildReserved
  | ChildSettled
  | ParentSettled
  | ProgramRestored
  | ProgramForgotten;

/** A journal record as JSON text, with its log sequence number. */
export interface JournalEntry {
  lsn: number;
  json: string;
}
