import { readFileSync } from "node:fs";

/** Processor time and memory of a process at one moment. */
export interface ProcessUsage {
  at: number;
  /** Processor time in ms. */
  cpuMs: number;
  rssBytes: number;
}

const TICKS_PER_S = 100;
const PAGE_BYTES = 4_096;
const MS_PER_S = 1_000;

/** Reads the usage of a process from the kernel's own accounting. */
export function readUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  return {
    at: performance.now(),
    cpuMs: ticks * MS_PER_S / TICKS_PER_S,
    rssBytes: Number(fields[21]) * PAGE_BYTES,
  };
}

/** Processor time between two readings, in percent of one core. */
export function cpuPercent(from: ProcessUsage, to: ProcessUsage): number {
  return 100 * (to.cpuMs - from.cpuMs) / (to.at - from.at);
}
