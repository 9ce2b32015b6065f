import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { type FleetFigures, measureFleet } from "../capacity/fleet_slopes.ts";
import {
  measureDecisions,
  measurePrograms,
  measureTable,
} from "../capacity/state_slopes.ts";
import type { BenchCommand } from "../command.ts";

/** Slopes for docs/CAPACITY.md. */
export const capacity: BenchCommand = {
  help: "slopes by daemons, programs, upstream rows and edits",
  flags: { daemons: { type: "string", default: "2,8,16,32" } },
  async handler(flags) {
    exposeGarbageCollector();
    const fleets: FleetFigures[] = [];
    for (const count of String(flags["daemons"]).split(",").map(Number)) {
      const figures = await measureFleet(count);
      process.stderr.write(JSON.stringify(figures) + "\n");
      fleets.push(figures);
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

/** Heap sizes are only comparable after a full collection. */
function exposeGarbageCollector(): void {
  setFlagsFromString("--expose-gc");
  (globalThis as { gc?: unknown }).gc = runInNewContext("gc");
}
