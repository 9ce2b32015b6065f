import { readFileSync } from "node:fs";

/** CPU time and resident memory of a process at one point in time. */
export interface ProcessUsage {
  /** Time of the reading on the `performance.now()` clock, in ms. */
  at: number;
  /** User and system CPU time since the process started, in ms. */
  cpuMs: number;
  rssBytes: number;
}

const TICKS_PER_S = 100;
const PAGE_BYTES = 4_096;
const MS_PER_S = 1_000;

/** Reads the usage of a process from `/proc/PID/stat`. */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  return {
    at: performance.now(),
    cpuMs: ticks * MS_PER_S / TICKS_PER_S,
    rssBytes: Number(fields[21]) * PAGE_BYTES,
  };
}

/** Returns the CPU time between two readings, in percent of one core. */
export function cpuPercent(from: ProcessUsage, to: ProcessUsage): number {
  return 100 * (to.cpuMs - from.cpuMs) / (to.at - from.at);
}
