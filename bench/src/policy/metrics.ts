import type { PolicyName } from "@toucantrestle/policy";
import { build } from "hdr-histogram-js";
import type { SimulationResult } from "./simulation.ts";
import type { WorkloadDef } from "./workload.ts";

/** Latencies in ms. */
export interface LatencyMetrics {
  mean: number;
  p50: number;
  p95: number;
  p99: number;
}

/** Metrics of one policy at one load. */
export interface RunMetrics {
  policy: PolicyName;
  load: number;
  /** Over all programs, weighted by their callers' weights. */
  program_latency_ms: LatencyMetrics;
  /** Over programs of foreground callers. */
  foreground_latency_ms: LatencyMetrics;
  /** Mean program latency by caller, in ms. */
  caller_latency_ms: Record<string, number>;
  /** Prompt tokens that engines had to compute again. */
  wasted_cache_tokens: number;
  /** Programs that gave up after too many refusals. */
  refused: number;
  /** Programs that had not completed when the run was stopped. */
  unfinished: number;
  /** Fraction of engine time spent on calls that missed their deadline. */
  late_work_share: number;
  /** Largest relative deviation of a caller's share from its weight. */
  share_error: number;
  /** Mean duration of a dispatch decision, in microseconds. */
  decision_us: number;
}

/** Computes the metrics of a simulated run. */
export function computeRunMetrics(
  run: { policy: PolicyName; load: number; def: WorkloadDef; arrived: number },
  result: SimulationResult,
  shareError: number,
): RunMetrics {
  const foregroundCallers = new Set(
    run.def.callers.filter((it) => it.class === "foreground")
      .map((it) => it.name),
  );
  const weights = new Map(run.def.callers.map((it) => [it.name, it.weight]));
  const allSamples: LatencySample[] = [];
  const foregroundSamples: LatencySample[] = [];
  for (const { spec, latencyMs } of result.programs) {
    if (latencyMs === undefined) continue;
    const weight = weights.get(spec.caller) ?? 1;
    allSamples.push({ caller: spec.caller, ms: latencyMs, weight });
    if (foregroundCallers.has(spec.caller)) {
      foregroundSamples.push({ caller: spec.caller, ms: latencyMs, weight });
    }
  }
  const totalEngineMs = sum(result.calls.map((it) => it.engineMs));
  const lateEngineMs = sum(
    result.calls.filter((it) => it.isLate).map((it) => it.engineMs),
  );
  return {
    policy: run.policy,
    load: run.load,
    program_latency_ms: summariseLatency(allSamples),
    foreground_latency_ms: summariseLatency(foregroundSamples),
    caller_latency_ms: Object.fromEntries(
      run.def.callers.map((caller) => [
        caller.name,
        summariseLatency(allSamples.filter((it) => it.caller === caller.name))
          .mean,
      ]),
    ),
    wasted_cache_tokens: sum(result.calls.map((it) => it.wastedTokens)),
    refused: result.programs.filter((it) => it.latencyMs === undefined).length,
    unfinished: run.arrived - result.programs.length,
    late_work_share: round(lateEngineMs / Math.max(1, totalEngineMs), 4),
    share_error: round(shareError, 4),
    decision_us: round(result.decisionMicros, 2),
  };
}

/**
 * Returns the largest relative deviation of a caller's share of engine time
 * from its weight. All callers must be backlogged throughout the window.
 */
export function computeShareError(
  def: WorkloadDef,
  result: SimulationResult,
  window: { from: number; to: number },
): number {
  const totalWeight = sum(def.callers.map((it) => it.weight));
  const calls = result.calls.filter((it) =>
    it.at >= window.from && it.at < window.to
  );
  const totalEngineMs = sum(calls.map((it) => it.engineMs));
  const errors = def.callers.map((caller) => {
    const callerEngineMs = sum(
      calls.filter((it) => it.caller === caller.name).map((it) => it.engineMs),
    );
    const targetShare = caller.weight / totalWeight;
    return Math.abs(callerEngineMs / Math.max(1, totalEngineMs) - targetShare) /
      targetShare;
  });
  return Math.max(...errors);
}

/** Latency of one program. */
interface LatencySample {
  caller: string;
  ms: number;
  weight: number;
}

function summariseLatency(samples: LatencySample[]): LatencyMetrics {
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
