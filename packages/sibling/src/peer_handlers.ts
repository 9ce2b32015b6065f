import type { HostRun } from "@toucantrestle/membership";
import type { CallerRequest, ResponseSink } from "./caller_request.ts";
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

/** Handlers of remote procedure calls, by name. */
export type RpcHandlers = {
  [K in RpcName]: (
    args: Rpcs[K]["args"],
    from: HostRun,
  ) => Rpcs[K]["result"] | Promise<Rpcs[K]["result"]>;
};

/** Handlers that a daemon provides for messages of its siblings. */
export interface PeerHandlers {
  rpcs: RpcHandlers;
  onHeartbeat(from: HostRun, message: Heartbeat): void;
  onAppend(from: HostRun, message: AppendBatch): AppendAck[];
  onAppendAcks(from: HostRun, acks: AppendAck[]): void;
  onTrim(from: HostRun, message: Trim): void;
  onSuspect(fingerprint: string): void;
  onConvicted(conviction: Conviction): void;
  onLoad(digests: LoadDigest[]): void;
  /** Executes a caller's request that a sibling has forwarded. */
  onCall(
    caller: string,
    request: CallerRequest,
    sink: ResponseSink,
  ): Promise<void>;
  /** Called when a link to a sibling has been established. */
  onLinked(run: HostRun): void;
}
