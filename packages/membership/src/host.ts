/** One run of a daemon. A restarted daemon is another run. */
export interface HostRun {
  /** Unique for each start of a daemon. */
  runId: string;
  host: string;
  dataCentre: string;
  /** `host:port` of the callers' and operators' HTTP server. */
  address: string;
  /** `host:port` of the server for siblings. */
  siblingAddress: string;
}

/** Whether a daemon takes part fully or is about to stop. */
export type HostState = "live" | "leaving";

/** Registration of a daemon under its lease. */
export interface HostRecord extends HostRun {
  state: HostState;
}
