/** One run of a daemon process. Each restart begins a new run. */
export interface HostRun {
  /** Unique for each start of a daemon process. */
  runId: string;
  host: string;
  dataCentre: string;
  /** `host:port` of the HTTP server for callers and operators. */
  address: string;
  /** `host:port` of the server that accepts links from sibling daemons. */
  siblingAddress: string;
}

/** `live`: in normal operation. `leaving`: draining before shutdown. */
export type HostState = "live" | "leaving";

/** Registration of a daemon, stored under its lease. */
export interface HostRecord extends HostRun {
  state: HostState;
}
