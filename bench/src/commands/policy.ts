import { POLICIES, type PolicyName } from "@toucantrestle/policy";
import { DEFAULT_ENGINE_PARAMS } from "@toucantrestle/stand_ins";
import { writeFileSync } from "node:fs";
import process from "node:process";
import type { BenchCommand } from "../command.ts";
import { figuresOf, type RunFigures, shareErrorOf } from "../policy/figures.ts";
import { formatReport } from "../policy/report.ts";
import { Simulation } from "../policy/simulation.ts";
import {
  createPrograms,
  type WorkloadDef,
  type WorkloadName,
  WORKLOADS,
} from "../policy/workload.ts";

const DURATION_MS = 240_000;
const DRAIN_MS = 240_000;
const SHARE_DURATION_MS = 60_000;
const SHARE_LOAD = 2;
const DAEMONS = 8;

/** Compares policies on the same arrivals. */
export const policy: BenchCommand = {
  help: "program latency and wasted cache of policies on the same arrivals",
  flags: {
    workload: { type: "string", default: "interest" },
    load: { type: "string", default: "0.7,0.9,1.1" },
    policies: { type: "string", default: Object.keys(POLICIES).join(",") },
    seed: { type: "number", default: 1 },
    report: { type: "string" },
  },
  handler(flags) {
    const workload = String(flags["workload"]) as WorkloadName;
    const def = WORKLOADS[workload];
    if (!def) throw new Error(`workload "${workload}" is not known`);
    const loads = String(flags["load"]).split(",").map(Number);
    const names = String(flags["policies"]).split(",") as PolicyName[];
    const seed = Number(flags["seed"]);
    const runs = loads.flatMap((load) =>
      names.map((name) => runOne(def, { name, load, seed }))
    );
    printTable(runs);
    if (typeof flags["report"] === "string") {
      const title = `${workload}, seed ${seed}`;
      writeFileSync(flags["report"], formatReport(title, runs));
    }
    return Promise.resolve({ workload, seed, runs });
  },
};

function runOne(
  def: WorkloadDef,
  run: { name: PolicyName; load: number; seed: number },
): RunFigures {
  const programs = programsAt(def, run.load, run.seed, DURATION_MS);
  const result = new Simulation({
    def,
    params: { ...DEFAULT_ENGINE_PARAMS, cacheTokens: def.cacheTokens },
    programs,
    policy: run.name,
    daemons: DAEMONS,
    endAt: DURATION_MS + DRAIN_MS,
  }).run();
  const total = programs.length;
  const described = { policy: run.name, load: run.load, def, total };
  return figuresOf(described, result, measureShares(run.name, run.seed));
}

/** Callers of different weights, all with more work than they get. */
function measureShares(name: PolicyName, seed: number): number {
  const def = WORKLOADS.shares;
  const result = new Simulation({
    def,
    params: { ...DEFAULT_ENGINE_PARAMS, cacheTokens: def.cacheTokens },
    programs: programsAt(def, SHARE_LOAD * 2, seed, SHARE_DURATION_MS),
    policy: name,
    daemons: DAEMONS,
    endAt: SHARE_DURATION_MS,
  }).run();
  return shareErrorOf(def, result, {
    from: SHARE_DURATION_MS / 4,
    to: SHARE_DURATION_MS,
  });
}

function programsAt(
  def: WorkloadDef,
  load: number,
  seed: number,
  durationMs: number,
) {
  const { maxBatch, decodeBaseMs, decodePerSequenceMs, prefillTokensPerS } =
    DEFAULT_ENGINE_PARAMS;
  const speed = {
    tokenMs: decodeBaseMs + maxBatch * decodePerSequenceMs,
    prefillMsPerToken: 1_000 / prefillTokensPerS,
  };
  const workMsPerMs = load * def.engines * maxBatch;
  return createPrograms(def, { seed, durationMs, workMsPerMs }, speed);
}

function printTable(runs: RunFigures[]): void {
  const head = "load  policy          mean ms   p99 ms  front ms  wasted " +
    "tokens  refused unfin  late   share  us";
  process.stderr.write(head + "\n");
  for (const it of runs) {
    process.stderr.write(
      [
        String(it.load).padEnd(5),
        it.policy.padEnd(14),
        String(it.program_latency_ms.mean).padStart(8),
        String(it.program_latency_ms.p99).padStart(8),
        String(it.foreground_latency_ms.mean).padStart(9),
        String(it.wasted_cache_tokens).padStart(14),
        String(it.refused).padStart(8),
        String(it.unfinished).padStart(5),
        String(it.late_work_share).padStart(7),
        String(it.share_error).padStart(7),
        String(it.decision_us).padStart(6),
      ].join(" ") + "\n",
    );
  }
}
