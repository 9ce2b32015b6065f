import type { Verdict } from "@toucantrestle/verdict";

/** A request as it goes to an upstream. */
export interface OutgoingRequest {
  /** Id that the answer must echo. */
  id: string;
  method: string;
  path: string;
  /** Names and values by turns. */
  headers: string[];
  body: Uint8Array;
}

/** Status and headers of an answer. */
export interface AnswerHead {
  status: number;
  /** Names and values by turns, as they came. */
  rawHeaders: string[];
  /** Values by name in lower case; the last one of a name counts. */
  headers: Map<string, string>;
}

/** Why an exchange failed. */
export interface ChannelFailure {
  reason:
    | "connect_refused"
    | "connect_timeout"
    | "connection_lost"
    | "bad_answer"
    | "cancelled";
  /** `not_run` only where no byte of the request has left. */
  verdict: Verdict;
  /** True once the head of the answer was handed on. */
  hadHead: boolean;
}

/** What an exchange calls. Exactly one of `onEnd` and `onFailure` comes last. */
export interface AnswerHandlers {
  onHead(head: AnswerHead): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onFailure(failure: ChannelFailure): void;
}
