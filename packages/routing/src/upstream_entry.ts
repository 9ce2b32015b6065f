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

/** Most bytes of an id; it is sent in a header and occurs in log lines. */
const MAX_ID_LENGTH = 256;
/** Visible ASCII: an id must not break the header that carries it. */
const ID = /^[!-~]+$/;
const IPV4 =
  /^(?:(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)(?:\.(?!:)|:)){4}(\d{1,5})$/;
const MAX_PORT = 65_535;

/**
 * Whether a value names a usable upstream. Entries have several writers, and
 * siblings of other builds may be less strict.
 */
export function isUpstreamEntry(value: unknown): value is UpstreamEntry {
  if (typeof value !== "object" || value === null) return false;
  const entry = value as Partial<Record<keyof UpstreamEntry, unknown>>;
  const { id, service, dataCentre, softwareVersion, slots, startedAt } = entry;
  return typeof id === "string" && id.length <= MAX_ID_LENGTH && ID.test(id) &&
    id !== "__proto__" &&
    typeof service === "string" && service !== "" &&
    typeof dataCentre === "string" &&
    (softwareVersion === undefined || typeof softwareVersion === "string") &&
    isAddress(entry.address) &&
    isNumberFrom(slots, Number.MIN_VALUE) &&
    typeof entry.isDraining === "boolean" &&
    isNumberFrom(entry.coldLeftMs, 0) &&
    Number.isSafeInteger(startedAt) && isNumberFrom(startedAt, 0);
}

/** Whether a value is an IPv4 address with a port. */
function isAddress(value: unknown): boolean {
  const port = typeof value === "string" ? IPV4.exec(value)?.[1] : undefined;
  return port !== undefined && Number(port) > 0 && Number(port) <= MAX_PORT;
}

function isNumberFrom(value: unknown, least: number): boolean {
  return typeof value === "number" && Number.isFinite(value) && value >= least;
}
