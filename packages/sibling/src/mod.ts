/**
 * Links between daemons: typed messages over WebSocket, encoded with msgpackr.
 *
 * @module
 */
export type * from "./caller_request.ts";
export type * from "./messages.ts";
export type { PeerHandlers, RpcHandlers } from "./peer_handlers.ts";
export type { HostStatus, ProgramSummary, UpstreamStatus } from "./status.ts";
export type { OutgoingSession } from "./outgoing.ts";
export { hashKey, SiblingNet } from "./sibling_net.ts";
export type { SiblingNetOptions, SiblingTls } from "./sibling_net_options.ts";
