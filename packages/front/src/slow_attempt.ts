import type { Logger } from "@toucantrestle/log";
import { sleep, type Timer } from "@toucantrestle/timer";
import type { Attempt } from "./attempt.ts";

/** Options of `stopWhenSlow`. */
export interface SlowAttemptOptions {
  /** Time after which the attempt counts as slow, in ms; may be infinite. */
  slowMs: number;
  /** Returns whether another upstream can take the call now. */
  hasOtherWay: () => Promise<boolean>;
  timer: Timer;
  log: Logger;
}

/** Time between two looks for another way. */
const RECHECK_INTERVAL_MS = 200;

/**
 * Stops an attempt that is slow, once another upstream can take its call: if all
 * stand still, the attempt goes on with the others. One of whose response the
 * caller has the head is never stopped. Returns a function that ends this.
 */
export function stopWhenSlow(
  attempt: Pick<Attempt, "stop" | "hasDeliveredHead">,
  { slowMs, hasOtherWay, timer, log }: SlowAttemptOptions,
): () => void {
  if (slowMs === Infinity) return () => {};
  let isOver = false;
  const mayStop = () => !isOver && !attempt.hasDeliveredHead;
  async function isOtherWayFound(): Promise<boolean> {
    try {
      return await hasOtherWay();
    } catch (err) {
      log.error(`cannot look for another way: ${String(err)}`);
      return false;
    }
  }
  const start = timer.after(slowMs, async () => {
    while (mayStop()) {
      const isFound = await isOtherWayFound();
      if (isFound && mayStop()) return attempt.stop("slow");
      await sleep(timer, RECHECK_INTERVAL_MS);
    }
  });
  return () => {
    isOver = true;
    start.cancel();
  };
}
