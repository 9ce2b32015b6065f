import type { CallRecord } from "../history/history.ts";
import type { ChaosResult } from "./run.ts";

/** Returns a summary of a chaos run, one line per item. */
export function describeChaos(result: ChaosResult): string[] {
  const { counts, history } = result;
  const latencies = history.calls
    .filter((it) => it.completedAt !== undefined)
    .map((it) => (it.completedAt ?? 0) - it.invokedAt)
    .sort((a, b) => a - b);
  return [
    `${counts.started} programs started, ${counts.ended} ended, ${counts.abandoned} abandoned`,
    `${history.calls.length} calls: ${countResults(history.calls)}`,
    `latency p50 ${percentile(latencies, 50)} ms, p99 ${
      percentile(latencies, 99)
    } ms, max ${latencies.at(-1) ?? 0} ms`,
    `peak load of the key-value service: ${result.peakStoreCallsPerSecond} calls/s`,
  ];
}

function countResults(calls: CallRecord[]): string {
  const counts = new Map<string, number>();
  for (const { result } of calls) {
    const key = result?.kind === "failed"
      ? result.verdict
      : result?.kind ?? "unknown";
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return [...counts].map(([key, count]) => `${count} ${key}`).join(", ");
}

function percentile(sorted: number[], percent: number): number {
  return sorted[Math.floor(sorted.length * percent / 100)] ?? 0;
}
