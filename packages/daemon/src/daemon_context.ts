import type { LoggerFactory } from "@toucantrestle/log";
import type { MemoryHolders } from "@toucantrestle/memory";
import type { Metrics } from "@toucantrestle/metrics";
import type { Timer } from "@toucantrestle/timer";
import type { TlsFiles } from "./tls_files.ts";

/** What a daemon gets from its process. */
export interface DaemonContext {
  timer: Timer;
  logs: LoggerFactory;
  metrics: Metrics;
  holders: MemoryHolders;
  /** Undefined without TLS. */
  tls: TlsFiles | undefined;
}
