import xxhash from "xxhash-wasm";
import type { WorkItem } from "./work.ts";

const hasher = await xxhash();
const MIN_DELAY_MS = 500;
const EXTRA_DELAY_FULL_QUEUE_MS = 8_000;

/**
 * Returns the delay in ms after which a refused call should be retried. The
 * delay grows with the queue length and has a jitter that depends on the caller
 * and the program, so that refused calls are not all retried at once.
 */
export function refusalDelayMs(
  work: Pick<WorkItem, "caller" | "program">,
  opts: { waiting: number; queueLimit: number; now: number },
): number {
  const fillRatio = Math.min(1, opts.waiting / Math.max(1, opts.queueLimit));
  const baseMs = MIN_DELAY_MS + fillRatio * EXTRA_DELAY_FULL_QUEUE_MS;
  const jitter = hasher.h32(`${work.caller}/${work.program}/${opts.now}`) /
    0xffff_ffff;
  return Math.round(baseMs * (1 + jitter));
}
