import type { Route, RoutingConfig } from "@toucantrestle/routing";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallHead } from "./protocol.ts";
import type { CallRecorder } from "./call_recorder.ts";

/** One request of a caller, as it is served. */
export interface Call {
  req: IncomingMessage;
  res: ServerResponse;
  head: CallHead;
  body: Buffer;
  route: Route;
  service: string;
  config: RoutingConfig;
  arrivedAt: number;
  /** When the caller must have its answer, in ms on the steady clock. */
  deadlineAt: number;
  /** What is known on this call, with its outcome in the end. */
  recorder: CallRecorder;
  /** Known again when the same request comes back. */
  fingerprint: string;
  /** True once the caller has left. */
  isAbandoned: boolean;
  /** Called when the caller leaves. */
  onAbandon: (() => void) | undefined;
}
