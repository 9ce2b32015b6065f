import type { Organisation } from "@toucantrestle/organisations";
import type { Route, RoutingConfig } from "@toucantrestle/routing";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AttemptLedger } from "./attempt_ledger.ts";
import type { CallHead } from "./protocol.ts";
import type { CallRecorder } from "./call_recorder.ts";

/** A caller's request while it is in progress. */
export interface Call {
  req: IncomingMessage;
  res: ServerResponse;
  head: CallHead;
  body: Buffer;
  route: Route;
  service: string;
  config: RoutingConfig;
  /** Organisation that sends the request; undefined if that is not known. */
  organisation?: Organisation | undefined;
  arrivedAt: number;
  /** Deadline of the response, in ms on the monotonic clock. */
  deadlineAt: number;
  /** Attempts at the call, from which its refusal takes the proof. */
  attempts: AttemptLedger;
  /** Logs and counts the decisions on this call and its outcome. */
  recorder: CallRecorder;
  /** Identifies repetitions of the same request. */
  readonly fingerprint: string;
  /** True once the caller has disconnected or this front has given it up. */
  isAbandoned: boolean;
  /** Called when the call is abandoned. */
  onAbandon: (() => void) | undefined;
}
