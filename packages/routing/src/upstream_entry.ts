/** Registration entry that an upstream writes to the store. */
export interface UpstreamEntry {
  id: string;
  service: string;
  /** IP address and port. */
  address: string;
  dataCentre: string;
  /** Version of its software; undefined if it is missing or unreadable. */
  softwareVersion: string | undefined;
  /** Number of requests that the upstream runs concurrently. */
  slots: number;
  isDraining: boolean;
  /** Remaining warm-up time after a cold start, in ms. */
  coldLeftMs: number;
  /** Start time of the process, in ms since the epoch; 0 if unknown. */
  startedAt: number;
}
