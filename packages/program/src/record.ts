import type { Problem } from "@toucantrestle/verdict";
import type { Ledger } from "./ledger.ts";
import type { ChatMessage, Usage } from "./message.ts";

/** Kind of upstream that executes a call. */
export type UpstreamKind = "engine" | "service";

/** Final result of a call, as returned to its caller. */
export type Outcome = AnsweredOutcome | FailedOutcome;

/** The upstream responded. */
export interface AnsweredOutcome {
  kind: "answered";
  status: number;
  contentType: string;
  /** Response body as sent by the service; empty for a model call. */
  body: string;
  /**
   * True if the body may be incomplete, because only the end of the service's
   * connection marked its end.
   */
  endsWithConnection?: boolean;
  /** The assistant's message; set for model calls only. */
  message?: ChatMessage;
  /** Reason why the engine stopped generating; set for model calls only. */
  finishReason?: string;
  usage?: Usage;
}

/** The call failed. The problem contains the verdict. */
export interface FailedOutcome {
  kind: "failed";
  problem: Problem;
}

/** Reason why a program ended. */
export type EndReason = "deleted" | "idle" | "turn_limit" | "single_call";

/** A program was started. The budget is in tokens, times are in ms. */
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
 * A call is about to be sent and its worst-case cost is reserved. For a call
 * that is not idempotent this record is the write-ahead intent that permits the
 * call to be sent exactly once.
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

/** An idempotent call is retried on another upstream. */
export interface CallRetried {
  kind: "call_retried";
  program: string;
  step: number;
  upstream: string;
}

/** A call finished with an outcome. */
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

/** An engine confirmed that it has no cached data of the program. */
export interface MemoryReleased {
  kind: "memory_released";
  program: string;
  upstream: string;
}

/** Part of a program's token budget was reserved for a sub-agent. */
export interface ChildReserved {
  kind: "child_reserved";
  program: string;
  child: string;
  tokens: number;
}

/** A sub-agent ended and the tokens that it did not spend were released. */
export interface ChildSettled {
  kind: "child_settled";
  program: string;
  child: string;
  spentTokens: number;
}

/** The owner of the parent program confirmed a sub-agent's settlement. */
export interface ParentSettled {
  kind: "parent_settled";
  program: string;
}

/** Snapshot of a program's ledger, written by a compaction. */
export interface ProgramRestored {
  kind: "program_restored";
  program: string;
  ledger: Ledger;
}

/** The ledger of an ended program was dropped after its retention period. */
export interface ProgramForgotten {
  kind: "program_forgotten";
  program: string;
}

/** A record of a shard's journal. */
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

/** A journal record as JSON text with its log sequence number. */
export interface JournalEntry {
  lsn: number;
  json: string;
}
