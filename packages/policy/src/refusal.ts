import xxhash from "xxhash-wasm";
import type { Work } from "./work.ts";

const hasher = await xxhash();
const MIN_DELAY_MS = 500;
const FULL_QUEUE_DELAY_MS = 8_000;

/**
 * Time after which a refused caller should come back: it grows with the queue
 * and differs between callers and programs, so that they do not return
 * together.
 */
export function refusalDelayMs(
  work: Pick<Work, "caller" | "program">,
  opts: { waiting: number; queueLimit: number; now: number },
): number {
  const fill = Math.min(1, opts.waiting / Math.max(1, opts.queueLimit));
  const base = MIN_DELAY_MS + fill * FULL_QUEUE_DELAY_MS;
  const spread = hasher.h32(`${work.caller}/${work.program}/${opts.now}`) /
    0xffff_ffff;
  return Math.round(base * (1 + spread));
}
