/** State of one upstream as seen by a daemon. */
export interface UpstreamStatus {
  name: string;
  kind: string;
  accepting: boolean;
  inFlight: number;
  capacity: number;
}

/** Status that a daemon reports about itself. */
export interface HostStatus {
  host: string;
  runId: string;
  dataCentre: string;
  state: string;
  tableRevision: number;
  shardsOwned: number;
  shardsInTrouble: number;
  programs: number;
  callsRunning: number;
  callsWaiting: number;
  storeReachable: boolean;
  tailBytes: number;
  /** Bytes sent to siblings since the start. */
  siblingBytesSent: number;
  rssMb: number;
  upstreams: UpstreamStatus[];
}

/** Summary of a program for lists. Sizes are in tokens, times in ms. */
export interface ProgramSummary {
  program: string;
  caller: string;
  state: string;
  steps: number;
  spentTokens: number;
  budgetTokens: number;
  idleMs: number;
  host: string;
}
