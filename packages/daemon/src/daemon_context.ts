import type { LoggerFactory } from "@toucantrestle/log";
import type { Timer } from "@toucantrestle/timer";
import type { TlsFiles } from "./tls_files.ts";

/** What a daemon gets from its process. */
export interface DaemonContext {
  timer: Timer;
  logs: LoggerFactory;
  /** Undefined without TLS. */
  tls: TlsFiles | undefined;
}
