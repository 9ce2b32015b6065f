import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { type FleetMetrics, measureFleet } from "../capacity/fleet_cost.ts";
import {
  measureDecisions,
  measurePrograms,
  measureTable,
} from "../capacity/state_cost.ts";
import type { BenchCommand } from "../command.ts";

/** Measures how resource use grows with load, for docs/CAPACITY.md. */
export const capacity: BenchCommand = {
  help: "resource use by number of daemons, programs and table rows",
  flags: { daemons: { type: "string", default: "2,8,16,32" } },
  async handler(flags) {
    exposeGarbageCollector();
    const fleets: FleetMetrics[] = [];
    for (const count of String(flags["daemons"]).split(",").map(Number)) {
      const metrics = await measureFleet(count);
      process.stderr.write(JSON.stringify(metrics) + "\n");
      fleets.push(metrics);
    }
    return {
      fleets,
      programs: [100, 2_000, 20_000].map(measurePrograms),
      tables: [
        measureTable(3, 26),
        measureTable(240, 490),
        measureTable(2_400, 4_900),
      ],
      decisions: [10, 100, 1_000, 4_900].map(measureDecisions),
    };
  },
};

/** Exposes `gc`: heap sizes are comparable only after a full collection. */
function exposeGarbageCollector(): void {
  setFlagsFromString("--expose-gc");
  (globalThis as { gc?: unknown }).gc = runInNewContext("gc");
}
