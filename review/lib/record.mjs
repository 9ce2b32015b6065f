// The record of a run: what was sent, answered and run, with times in seconds.
import { appendFileSync, writeFileSync } from "node:fs";

export function openRecord(file) {
  writeFileSync(file, "");
  const startedAt = performance.now();
  return (text) => {
    const s = ((performance.now() - startedAt) / 1_000).toFixed(3).padStart(8);
    appendFileSync(file, `${s} ${text}\n`);
    process.stdout.write(`${s} ${text}\n`);
  };
}
