import type { FleetSpec } from "@toucantrestle/stand_ins";
import { randomUUID } from "node:crypto";
import { type BenchFleet, startBenchFleet } from "../fleet.ts";
import { cpuPercent, readUsage } from "../process_usage.ts";

/** What an idle daemon costs in a fleet of a size, and what an edit takes. */
export interface FleetFigures {
  daemons: number;
  cpu_percent: { median: number; max: number };
  rss_mb: { median: number; max: number };
  sibling_bytes_per_s: { median: number; max: number };
  store_calls_per_s: number;
  /** Time until an edit is in force on all daemons, in ms. */
  edit_in_force_ms: { median: number; max: number };
}

const WATCH_MS = 8_000;
const SETTLE_MS = 4_000;
const EDITS = 6;
const BYTES_PER_MB = 1_000_000;
const MS_PER_S = 1_000;

/** Measures an idle fleet with a few engines. */
export async function measureFleet(daemons: number): Promise<FleetFigures> {
  const bench = await startBenchFleet(createSpec(daemons));
  try {
    await sleep(SETTLE_MS);
    const idle = await watchIdle(bench);
    const edits: number[] = [];
    for (let i = 0; i < EDITS; i++) edits.push(await timeEdit(bench, i));
    return { daemons, ...idle, edit_in_force_ms: spread(edits) };
  } finally {
    await bench.operator.close();
    await bench.fleet.stop();
  }
}

async function watchIdle(bench: BenchFleet) {
  const members = [...bench.fleet.daemons.values()];
  const before = members.map((it) => readUsage(it.process.pid));
  const bytesBefore = await readBytes(bench);
  const callsBefore = await readStoreCalls(bench);
  await sleep(WATCH_MS);
  const after = members.map((it) => readUsage(it.process.pid));
  const bytesAfter = await readBytes(bench);
  const calls = await readStoreCalls(bench) - callsBefore;
  const seconds = WATCH_MS / MS_PER_S;
  return {
    cpu_percent: spread(
      after.map((it, i) => cpuPercent(before[i] ?? it, it)),
    ),
    rss_mb: spread(after.map((it) => it.rssBytes / BYTES_PER_MB)),
    sibling_bytes_per_s: spread(
      bytesAfter.map((it, i) => (it - (bytesBefore[i] ?? 0)) / seconds),
    ),
    store_calls_per_s: round(calls / seconds),
  };
}

async function timeEdit(bench: BenchFleet, index: number): Promise<number> {
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

async function readBytes({ operator }: BenchFleet): Promise<number[]> {
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

function createSpec(daemons: number): FleetSpec {
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

function spread(values: number[]): { median: number; max: number } {
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
