import type { Logger } from "@toucantrestle/log";
import type { HostRun } from "@toucantrestle/membership";
import type { MemoryHolders } from "@toucantrestle/memory";
import type { Timer } from "@toucantrestle/timer";
import type { Heartbeat } from "./messages.ts";
import type { PeerHandlers } from "./peer_handlers.ts";

/** TLS certificate and key of this daemon, and the CA of its siblings. */
export interface SiblingTls {
  cert: string;
  key: string;
  ca: string;
}

/** Options of a `SiblingNet`. */
export interface SiblingNetOptions {
  self: HostRun;
  key: string;
  timer: Timer;
  handlers: PeerHandlers;
  /** Returns the content of the next heartbeat. */
  heartbeat: () => Omit<Heartbeat, "t">;
  /** Whether fault injection has cut the link to a host. */
  isCut: (host: string) => boolean;
  /** Whether a key hash is registered for the role `sibling`. */
  isSiblingKey: (keyHash: string) => boolean;
  tls: SiblingTls | undefined;
  log: Logger;
  /** Where unsent messages are counted. */
  holders?: MemoryHolders;
}
