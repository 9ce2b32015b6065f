import { checkHistory, type Violation } from "../history/checker.ts";
import type { History } from "../history/history.ts";
import { createFleetSpec } from "../environment/table.ts";
import { sleep, TestEnvironment } from "../environment/test_environment.ts";
import { injectFaults } from "./inject.ts";
import { type Fault, planFaults } from "./plan.ts";
import { type ProgramCounts, runPrograms } from "./programs.ts";

/** Result of a run with randomly planned faults. */
export interface ChaosResult {
  plan: Fault[];
  counts: ProgramCounts;
  history: History;
  violations: Violation[];
  /** Peak load of the key-value service, in calls per second. */
  peakStoreCallsPerSecond: number;
}

const PROGRAM_COUNT = 200;
const SETTLE_MS = 12_000;

/** Runs programs while injecting the faults planned from a seed. */
export async function runChaos(
  opts: { seed: number; seconds: number; logFolder: string },
): Promise<ChaosResult> {
  const spec = createFleetSpec({
    daemons: 8,
    dataCentres: 3,
    engines: 4,
    services: 2,
    tailCopies: 3,
    logFolder: opts.logFolder,
  });
  const plan = planFaults(opts.seed, opts.seconds, {
    hosts: spec.daemons.map((it) => it.host),
    engines: ["engine-1", "engine-2", "engine-3", "engine-4"],
    services: ["service-1", "service-2"],
  });
  const env = new TestEnvironment(spec);
  try {
    await env.start();
    const endAt = Date.now() + opts.seconds * 1_000;
    const [counts] = await Promise.all([
      runPrograms(env, { seed: opts.seed, count: PROGRAM_COUNT, endAt }),
      injectFaults(env, plan),
    ]);
    await sleep(SETTLE_MS);
    const peakStoreCallsPerSecond = await readPeakStoreRate(env);
    const history = await env.collectHistory();
    const violations = checkHistory(history);
    return { plan, counts, history, violations, peakStoreCallsPerSecond };
  } finally {
    await env.stop();
  }
}

async function readPeakStoreRate(env: TestEnvironment): Promise<number> {
  const res = await fetch(`${env.fleet.storeUrl}/stats`);
  const { seconds } = await res.json() as {
    seconds: { reads: number; writes: number }[];
  };
  return Math.max(...seconds.map((it) => it.reads + it.writes));
}
