/** An upstream as it registered itself. */
export interface UpstreamEntry {
  id: string;
  service: string;
  /** IP and port. */
  address: string;
  dataCentre: string;
  /** Requests that it runs at once. */
  slots: number;
  isDraining: boolean;
  /** Time for which it stays slow after its start, in ms. */
  coldLeftMs: number;
  /** When its process started, in ms since the epoch; 0 where unknown. */
  startedAt: number;
}
