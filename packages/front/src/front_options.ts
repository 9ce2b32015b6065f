import type { ConfigStore } from "@toucantrestle/config_store";
import type { Fleet } from "@toucantrestle/fleet";
import type { LoggerFactory } from "@toucantrestle/log";
import type { MemoryHolders, MemoryWatch } from "@toucantrestle/memory";
import type { Metrics } from "@toucantrestle/metrics";
import type { QuotaBounds } from "@toucantrestle/quota";
import type { ChooserName, Mechanism } from "@toucantrestle/routing";
import type { Timer } from "@toucantrestle/timer";
import type { Dial } from "@toucantrestle/upstream_channel";
import type { Protocol } from "./protocol.ts";

/** Options of `Front`. */
export interface FrontOptions {
  host: string;
  dataCentre: string;
  /** Address that callers connect to. */
  callerAddress: string;
  /** Address that the platform probes for readiness. */
  readyAddress: string;
  /** Address where callers query the directory. */
  directoryAddress: string;
  /** Address for links from sibling fronts. */
  linkAddress: string;
  /** Link addresses of siblings, dialled even if the store is unreachable. */
  seeds: string[];
  /** Load that this host can carry, in cores; all are equal if it is missing. */
  capacity?: number | undefined;
  /** Time from the stop signal until the process is killed, in ms. */
  graceMs: number;
  /** Memory limit of the process, in bytes; unlimited by default. */
  memoryBytes?: number | undefined;
  chooser: ChooserName;
  /** Mechanisms that are switched off, to measure their worth. */
  disabled: ReadonlySet<Mechanism>;
  /** How far requests may exceed the quotas of organisations. */
  quotaBounds?: QuotaBounds;
  /** Whether the entire deployment starts for the first time. */
  isFirstStart?: boolean;
  protocol: Protocol;
  store: ConfigStore;
  fleet: Fleet;
  timer: Timer;
  loggers: LoggerFactory;
  /** What keeps memory for peers; the front adds to it. */
  holders?: MemoryHolders;
  /** Tells when the process lacks memory. */
  memoryWatch?: Pick<MemoryWatch, "isFull">;
  metrics: Metrics;
  /** Opens connections to upstreams; TCP by default. */
  dial?: Dial;
}
