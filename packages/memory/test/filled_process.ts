/**
 * Program of `filled_process_test.ts`: one peer fills the memory with small
 * pieces, others keep a little, until the time is over.
 *
 * @module
 */
import { createNoopLoggers } from "@toucantrestle/log";
import { createNoopMetrics } from "@toucantrestle/metrics";
import { createSystemTimer } from "@toucantrestle/timer";
import { Buffer } from "node:buffer";
import process from "node:process";
import { MemoryHolders, MemoryWatch } from "../src/mod.ts";

const MEMORY_BYTES = 200 * 1_048_576;
const RUN_MS = 6_000;
const STEP_MS = 10;
const PIECES_PER_STEP = 4_000;
const PIECE_KEPT_BYTES = 110;
const OTHERS = 20;

const holders = new MemoryHolders();
const timer = createSystemTimer();
const cut = { senders: 0, others: 0 };

/** A peer whose pieces are kept as they come, and which comes again once cut. */
function fill(): void {
  let pieces: Buffer[] = [];
  holders.add({
    purpose: "request_bodies",
    keptBytes: () => pieces.length * PIECE_KEPT_BYTES,
    cut() {
      cut.senders += 1;
      pieces = [];
      clearInterval(interval);
      fill();
    },
  });
  const interval = setInterval(() => {
    for (let i = 0; i < PIECES_PER_STEP; i++) pieces.push(Buffer.from("x"));
  }, STEP_MS);
}

for (let i = 0; i < OTHERS; i++) {
  const bytes = Buffer.alloc(500_000, "y");
  holders.add({
    purpose: "responses",
    keptBytes: () => bytes.length,
    cut: () => cut.others += 1,
  });
}
const watch = new MemoryWatch({
  holders,
  memoryBytes: MEMORY_BYTES,
  timer,
  log: createNoopLoggers()("memory"),
  metrics: createNoopMetrics(),
});
watch.start();
fill();
timer.after(RUN_MS, () => {
  process.stdout.write(JSON.stringify(cut));
  process.exit(0);
});
