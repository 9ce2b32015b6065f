import type { HostRun } from "@toucantrestle/membership";
import type { AnswerSink, CallerRequest } from "./caller_request.ts";
import type {
  AppendAck,
  AppendBatch,
  Conviction,
  Heartbeat,
  LoadDigest,
  RpcName,
  Rpcs,
  Trim,
} from "./messages.ts";

/** Handlers of requests with one answer, by name. */
export type RpcHandlers = {
  [K in RpcName]: (
    args: Rpcs[K]["args"],
    from: HostRun,
  ) => Rpcs[K]["result"] | Promise<Rpcs[K]["result"]>;
};

/** What a daemon does with messages of its siblings. */
export interface PeerHandlers {
  rpcs: RpcHandlers;
  onHeartbeat(from: HostRun, message: Heartbeat): void;
  onAppend(from: HostRun, message: AppendBatch): AppendAck[];
  onAppendAcks(from: HostRun, acks: AppendAck[]): void;
  onTrim(from: HostRun, message: Trim): void;
  onSuspect(fingerprint: string): void;
  onConvicted(conviction: Conviction): void;
  onLoad(digests: LoadDigest[]): void;
  /** Runs a request that a sibling passed on. */
  onCall(
    caller: string,
    request: CallerRequest,
    sink: AnswerSink,
  ): Promise<void>;
  /** A link to a sibling was made. */
  onLinked(run: HostRun): void;
}
