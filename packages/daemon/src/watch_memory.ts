import type { Logger } from "@toucantrestle/log";
import { MemoryHolders, MemoryWatch } from "@toucantrestle/memory";
import type { Metrics } from "@toucantrestle/metrics";
import type { Timer } from "@toucantrestle/timer";

const GAUGE_INTERVAL_MS = 10_000;

/**
 * Watches the memory of the process, whose limit is the one of its heap.
 * Returns where the memory that is kept for peers is counted.
 */
export function watchMemory(
  { timer, metrics, log }: { timer: Timer; metrics: Metrics; log: Logger },
): MemoryHolders {
  const holders = new MemoryHolders();
  const watch = new MemoryWatch({
    holders,
    memoryBytes: undefined,
    timer,
    log,
    metrics,
  });
  watch.start();
  timer.every(GAUGE_INTERVAL_MS, () => watch.reportGauges(metrics));
  return holders;
}
