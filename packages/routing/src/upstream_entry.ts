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

/**
 * One process of an upstream. A restarted upstream has the same id and a later
 * start time, and knows nothing of what the process before it did.
 */
export type UpstreamProcess = Pick<UpstreamEntry, "id" | "startedAt">;

/** Whether two entries name the same process of an upstream. */
export function isSameProcess(a: UpstreamProcess, b: UpstreamProcess): boolean {
  return a.id === b.id && a.startedAt === b.startedAt;
}

/** Returns a text that is different for each process of each upstream. */
export function processKey({ id, startedAt }: UpstreamProcess): string {
  return `${id}@${startedAt}`;
}
