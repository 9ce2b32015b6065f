import { readFileSync } from "node:fs";

const NS_PER_MS = 1e6;
/** Times of the main thread in ns: on a processor, and waiting for one. */
const SCHEDULE_FILE = "/proc/self/schedstat";

/**
 * Returns a monotonic time in ms that stands still while the main thread of this
 * process is ready to run and gets no processor. Where the system does not tell,
 * it never stands still.
 */
export function processorNow(): number {
  return performance.now() - waitedMs();
}

function waitedMs(): number {
  let times: string;
  try {
    times = readFileSync(SCHEDULE_FILE, "utf8");
  } catch {
    return 0;
  }
  const [, waitedNs] = times.split(" ");
  return Number(waitedNs) / NS_PER_MS;
}
