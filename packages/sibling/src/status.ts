/** Trouble of one upstream as a daemon sees it. */
export interface UpstreamStatus {
  name: string;
  kind: string;
  accepting: boolean;
  inFlight: number;
  capacity: number;
}

/** What one daemon says of itself. */
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

/** A program as a list shows it. Sizes in tokens, times in ms. */
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
