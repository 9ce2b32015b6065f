import { checkHistory, type Violation } from "../history/checker.ts";
import type { History } from "../history/history.ts";
import { createFleetSpec } from "../world/table.ts";
import { sleep, World } from "../world/world.ts";
import { injectFaults } from "./inject.ts";
import { type Fault, planFaults } from "./plan.ts";
import { type ProgramCounts, runPrograms } from "./programs.ts";

/** Result of a run with random faults. */
export interface ChaosResult {
  plan: Fault[];
  counts: ProgramCounts;
  history: History;
  violations: Violation[];
  /** Most calls that the key-value service saw in one second. */
  busiestStoreSecond: number;
}

const PROGRAMS = 200;
const SETTLE_MS = 12_000;

/** Runs programs under the faults that a seed plans. */
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
  const world = new World(spec);
  try {
    await world.start();
    const endAt = Date.now() + opts.seconds * 1_000;
    const [counts] = await Promise.all([
      runPrograms(world, { seed: opts.seed, count: PROGRAMS, endAt }),
      injectFaults(world, plan),
    ]);
    await sleep(SETTLE_MS);
    const busiestStoreSecond = await readBusiestSecond(world);
    const history = await world.collect();
    const violations = checkHistory(history);
    return { plan, counts, history, violations, busiestStoreSecond };
  } finally {
    await world.stop();
  }
}

async function readBusiestSecond(world: World): Promise<number> {
  const res = await fetch(`${world.fleet.storeUrl}/stats`);
  const { seconds } = await res.json() as {
    seconds: { reads: number; writes: number }[];
  };
  return Math.max(...seconds.map((it) => it.reads + it.writes));
}
