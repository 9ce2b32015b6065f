import { POLICIES, type PolicyName } from "@toucantrestle/policy";
import { DEFAULT_ENGINE_PARAMS } from "@toucantrestle/stand_ins";
import { writeFileSync } from "node:fs";
import process from "node:process";
import type { BenchCommand } from "../command.ts";
import {
  computeRunMetrics,
  computeShareError,
  type RunMetrics,
} from "../policy/metrics.ts";
import { formatReport } from "../policy/report.ts";
import { Simulation } from "../policy/simulation.ts";
import {
  createPrograms,
  type WorkloadDef,
  type WorkloadName,
  WORKLOADS,
} from "../policy/workload.ts";

const DURATION_MS = 240_000;
const DRAIN_LIMIT_MS = 240_000;
const SHARE_RUN_DURATION_MS = 60_000;
const SHARE_RUN_LOAD = 2;
const DAEMON_COUNT = 8;

/** Compares scheduling policies on identical program arrivals. */
export const policy: BenchCommand = {
  help:
    "program latency and wasted cache tokens by policy, on the same arrivals",
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
    if (!def) throw new Error(`unknown workload "${workload}"`);
    const loads = String(flags["load"]).split(",").map(parseLoad);
    const policyNames = String(flags["policies"]).split(",").map(parsePolicy);
    const seed = Number(flags["seed"]);
    const runs = loads.flatMap((load) =>
      policyNames.map((name) => runSimulation(def, { name, load, seed }))
    );
    printTable(runs);
    if (typeof flags["report"] === "string") {
      const title = `${workload}, seed ${seed}`;
      writeFileSync(flags["report"], formatReport(title, runs));
    }
    return Promise.resolve({ workload, seed, runs });
  },
};

function parsePolicy(text: string): PolicyName {
  const name = Object.keys(POLICIES).find((it) => it === text);
  if (name === undefined) throw new Error(`unknown policy "${text}"`);
  return name as PolicyName;
}

function parseLoad(text: string): number {
  const load = Number(text);
  if (load > 0) return load;
  throw new Error(`load "${text}" is not a positive number`);
}

function runSimulation(
  def: WorkloadDef,
  run: { name: PolicyName; load: number; seed: number },
): RunMetrics {
  const programs = createProgramsAtLoad(def, run.load, run.seed, DURATION_MS);
  const result = new Simulation({
    def,
    params: { ...DEFAULT_ENGINE_PARAMS, cacheTokens: def.cacheTokens },
    programs,
    policy: run.name,
    daemons: DAEMON_COUNT,
    endAt: DURATION_MS + DRAIN_LIMIT_MS,
  }).run();
  const arrived = programs.length;
  const runInfo = { policy: run.name, load: run.load, def, arrived };
  return computeRunMetrics(
    runInfo,
    result,
    measureShareError(run.name, run.seed),
  );
}

/**
 * Measures how far the callers' shares of engine time differ from their weights
 * while every caller is backlogged.
 */
function measureShareError(name: PolicyName, seed: number): number {
  const def = WORKLOADS.shares;
  const result = new Simulation({
    def,
    params: { ...DEFAULT_ENGINE_PARAMS, cacheTokens: def.cacheTokens },
    programs: createProgramsAtLoad(
      def,
      SHARE_RUN_LOAD * 2,
      seed,
      SHARE_RUN_DURATION_MS,
    ),
    policy: name,
    daemons: DAEMON_COUNT,
    endAt: SHARE_RUN_DURATION_MS,
  }).run();
  return computeShareError(def, result, {
    from: SHARE_RUN_DURATION_MS / 4,
    to: SHARE_RUN_DURATION_MS,
  });
}

function createProgramsAtLoad(
  def: WorkloadDef,
  load: number,
  seed: number,
  durationMs: number,
) {
  const { maxBatch, decodeBaseMs, decodePerSequenceMs, prefillTokensPerS } =
    DEFAULT_ENGINE_PARAMS;
  const speed = {
    decodeMsPerToken: decodeBaseMs + maxBatch * decodePerSequenceMs,
    prefillMsPerToken: 1_000 / prefillTokensPerS,
  };
  const workMsPerMs = load * def.engines * maxBatch;
  return createPrograms(def, { seed, durationMs, workMsPerMs }, speed);
}

function printTable(runs: RunMetrics[]): void {
  const header = "load  policy          mean ms   p99 ms     fg ms  wasted " +
    "tokens  refused unfin  late   share  us";
  process.stderr.write(header + "\n");
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
