import type { PolicyName } from "@toucantrestle/policy";
import { build } from "hdr-histogram-js";
import type { SimulationResult } from "./simulation.ts";
import type { WorkloadDef } from "./workload.ts";

/** Latencies in ms. */
export interface LatencyFigures {
  mean: number;
  p50: number;
  p95: number;
  p99: number;
}

/** Figures of one policy at one load. */
export interface RunFigures {
  policy: PolicyName;
  load: number;
  /** Over all programs, weighted by their callers' weights. */
  program_latency_ms: LatencyFigures;
  /** Over programs of foreground callers. */
  foreground_latency_ms: LatencyFigures;
  /** By caller, mean in ms. */
  caller_latency_ms: Record<string, number>;
  wasted_cache_tokens: number;
  /** Programs that gave up after refusals. */
  refused: number;
  /** Programs that had not ended when the run was cut off. */
  unfinished: number;
  /** Engine time spent on calls whose answers came too late. */
  late_work_share: number;
  /** Largest difference of a caller's share from its weight. */
  share_error: number;
  decision_us: number;
}

/** Works the figures of a run out. */
export function figuresOf(
  run: { policy: PolicyName; load: number; def: WorkloadDef; total: number },
  result: SimulationResult,
  shareError: number,
): RunFigures {
  const foreground = new Set(
    run.def.callers.filter((it) => it.class === "foreground")
      .map((it) => it.name),
  );
  const weights = new Map(run.def.callers.map((it) => [it.name, it.weight]));
  const all: Sample[] = [];
  const front: Sample[] = [];
  for (const { spec, latencyMs } of result.programs) {
    if (latencyMs === undefined) continue;
    const weight = weights.get(spec.caller) ?? 1;
    all.push({ caller: spec.caller, ms: latencyMs, weight });
    if (foreground.has(spec.caller)) {
      front.push({ caller: spec.caller, ms: latencyMs, weight });
    }
  }
  const engineMs = sum(result.calls.map((it) => it.engineMs));
  const lateMs = sum(
    result.calls.filter((it) => it.isLate).map((it) => it.engineMs),
  );
  return {
    policy: run.policy,
    load: run.load,
    program_latency_ms: latencyFigures(all),
    foreground_latency_ms: latencyFigures(front),
    caller_latency_ms: Object.fromEntries(
      run.def.callers.map((caller) => [
        caller.name,
        latencyFigures(all.filter((it) => it.caller === caller.name)).mean,
      ]),
    ),
    wasted_cache_tokens: sum(result.calls.map((it) => it.wastedTokens)),
    refused: result.programs.filter((it) => it.latencyMs === undefined).length,
    unfinished: run.total - result.programs.length,
    late_work_share: round(lateMs / Math.max(1, engineMs), 4),
    share_error: round(shareError, 4),
    decision_us: round(result.decisionMicros, 2),
  };
}

/**
 * Largest difference of a caller's share of engine time from its weight, over
 * the time in which all callers are backlogged.
 */
export function shareErrorOf(
  def: WorkloadDef,
  result: SimulationResult,
  window: { from: number; to: number },
): number {
  const totalWeight = sum(def.callers.map((it) => it.weight));
  const calls = result.calls.filter((it) =>
    it.at >= window.from && it.at < window.to
  );
  const total = sum(calls.map((it) => it.engineMs));
  const errors = def.callers.map((caller) => {
    const own = sum(
      calls.filter((it) => it.caller === caller.name).map((it) => it.engineMs),
    );
    const wanted = caller.weight / totalWeight;
    return Math.abs(own / Math.max(1, total) - wanted) / wanted;
  });
  return Math.max(...errors);
}

interface Sample {
  caller: string;
  ms: number;
  weight: number;
}

function latencyFigures(samples: Sample[]): LatencyFigures {
  if (samples.length === 0) return { mean: 0, p50: 0, p95: 0, p99: 0 };
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const { ms, weight } of samples) {
    histogram.recordValueWithCount(Math.max(1, Math.round(ms)), weight);
  }
  return {
    mean: Math.round(histogram.mean),
    p50: histogram.getValueAtPercentile(50),
    p95: histogram.getValueAtPercentile(95),
    p99: histogram.getValueAtPercentile(99),
  };
}

function sum(values: number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function round(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}
