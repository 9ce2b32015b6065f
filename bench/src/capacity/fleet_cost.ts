import type { FleetSpec } from "@toucantrestle/stand_ins";
import { randomUUID } from "node:crypto";
import { type BenchFleet, startBenchFleet } from "../fleet.ts";
import { cpuPercent, readProcessUsage } from "../process_usage.ts";

/** Resource use of idle daemons and table edit latency for one fleet size. */
export interface FleetMetrics {
  /** Number of daemons in the fleet. */
  daemons: number;
  /** CPU time of a daemon, in percent of one core. */
  cpu_percent: { median: number; max: number };
  rss_mb: { median: number; max: number };
  /** Rate at which a daemon sends bytes to its siblings. */
  sibling_bytes_per_s: { median: number; max: number };
  /**
   * Reads and writes of the key-value service per second, for the whole fleet.
   */
  store_calls_per_s: number;
  /** Time until every daemon has applied a table edit, in ms. */
  edit_in_force_ms: { median: number; max: number };
}

const IDLE_WINDOW_MS = 8_000;
const SETTLE_MS = 4_000;
const EDIT_COUNT = 6;
const BYTES_PER_MB = 1_000_000;
const MS_PER_S = 1_000;

/** Measures an idle fleet of daemons with four engines. */
export async function measureFleet(daemons: number): Promise<FleetMetrics> {
  const bench = await startBenchFleet(createFleetSpec(daemons));
  try {
    await sleep(SETTLE_MS);
    const idle = await measureIdle(bench);
    const edits: number[] = [];
    for (let i = 0; i < EDIT_COUNT; i++) edits.push(await timeEdit(bench, i));
    return { daemons, ...idle, edit_in_force_ms: medianAndMax(edits) };
  } finally {
    await bench.operator.close();
    await bench.fleet.stop();
  }
}

async function measureIdle(bench: BenchFleet) {
  const daemons = [...bench.fleet.daemons.values()];
  const before = daemons.map((it) => readProcessUsage(it.process.pid));
  const bytesBefore = await readSiblingBytes(bench);
  const callsBefore = await readStoreCalls(bench);
  await sleep(IDLE_WINDOW_MS);
  const after = daemons.map((it) => readProcessUsage(it.process.pid));
  const bytesAfter = await readSiblingBytes(bench);
  const calls = await readStoreCalls(bench) - callsBefore;
  const seconds = IDLE_WINDOW_MS / MS_PER_S;
  return {
    cpu_percent: medianAndMax(
      after.map((it, i) => cpuPercent(before[i] ?? it, it)),
    ),
    rss_mb: medianAndMax(after.map((it) => it.rssBytes / BYTES_PER_MB)),
    sibling_bytes_per_s: medianAndMax(
      bytesAfter.map((it, i) => (it - (bytesBefore[i] ?? 0)) / seconds),
    ),
    store_calls_per_s: round(calls / seconds),
  };
}

/** Returns the time until every daemon has applied a table edit, in ms. */
async function timeEdit(
  bench: BenchFleet,
  index: number,
): Promise<number> {
  const { operator } = bench;
  const table = await operator.table();
  const row = table.rows.find((it) => it.id === "caller/bench");
  const startedAt = performance.now();
  const { revision } = await operator.edit({
    writeId: randomUUID(),
    reason: "bench",
    changes: [{
      row: "caller/bench",
      column: "weight",
      seen: row?.cells["weight"] ?? 1,
      value: 2 + index,
    }],
    removals: [],
  });
  for (;;) {
    const { hosts } = await operator.status();
    if (hosts.every((it) => it.tableRevision >= revision)) break;
    await sleep(5);
  }
  return performance.now() - startedAt;
}

async function readSiblingBytes({ operator }: BenchFleet): Promise<number[]> {
  const { hosts } = await operator.status();
  return hosts.map((it) => it.siblingBytesSent);
}

async function readStoreCalls({ fleet }: BenchFleet): Promise<number> {
  const res = await fetch(`${fleet.storeUrl}/stats`);
  const { seconds } = await res.json() as {
    seconds: { reads: number; writes: number }[];
  };
  return seconds.reduce((sum, it) => sum + it.reads + it.writes, 0);
}

function createFleetSpec(daemons: number): FleetSpec {
  return {
    daemons: Array.from({ length: daemons }, (_, i) => ({
      host: `entry-${i + 1}`,
      dataCentre: `dc-${i % 3 + 1}`,
    })),
    upstreams: Array.from({ length: 4 }, (_, i) => ({
      name: `engine-${i + 1}`,
      kind: "engine" as const,
      dataCentre: `dc-${i % 3 + 1}`,
      serves: ["small"],
      capacity: 16,
    })),
  };
}

function medianAndMax(values: number[]): { median: number; max: number } {
  const sorted = [...values].sort((a, b) => a - b);
  return {
    median: round(sorted[Math.floor(sorted.length / 2)] ?? 0),
    max: round(sorted.at(-1) ?? 0),
  };
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
