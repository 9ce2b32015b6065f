import { resolve } from "node:path";
import process from "node:process";
import { copyWithChooser, playDay } from "../choosers/play_day.ts";
import type { DayFigures } from "../choosers/read_day.ts";
import type { BenchCommand } from "../command.ts";

/** Figures of one day with one chooser. */
interface Row extends DayFigures {
  day: string;
  chooser: string;
}

/** Compares the choosers of upstreams on days of the platform's bench. */
export const choosers: BenchCommand = {
  help: "choosers on days of the platform's bench, none charged for its " +
    "processor time: --tool PROGRAM --site FILE --scratch FOLDER",
  flags: {
    tool: { type: "string", isRequired: true },
    site: { type: "string", isRequired: true },
    scratch: { type: "string", isRequired: true },
    days: { type: "string", default: "scale-1,scale-2" },
    choosers: {
      type: "string",
      default: "expected_finish,least_loaded,sticky,round_robin",
    },
  },
  async handler(flags) {
    const days = String(flags["days"]).split(",");
    const names = String(flags["choosers"]).split(",");
    const rows: Row[] = [];
    for (const chooser of names) {
      const folder = copyWithChooser({
        from: process.cwd(),
        scratch: resolve(String(flags["scratch"])),
        chooser,
      });
      const played = await Promise.all(days.map(async (day): Promise<Row> => ({
        day,
        chooser,
        ...await playDay({
          tool: resolve(String(flags["tool"])),
          site: resolve(String(flags["site"])),
          day,
          chooser,
          folder,
        }),
      })));
      rows.push(...played);
      for (const it of played) process.stderr.write(`${lineOf(it)}\n`);
    }
    return { rows, ratios: days.map((day) => ratioOf(day, rows)) };
  },
};

function lineOf(row: Row): string {
  const classes = row.classes.map((it) =>
    `${it.name} ${it.inAim.toFixed(3)} in aim, ${it.p50Ms} / ${it.p99Ms} ms`
  );
  return [row.day, row.chooser, row.worth, row.promptTokensRead, ...classes]
    .join("  ");
}

/** Worth of the first chooser over that of the best other one. */
function ratioOf(day: string, rows: Row[]): { day: string; ratio: number } {
  const [own, ...others] = rows.filter((it) => it.day === day);
  const best = Math.max(...others.map((it) => it.worth));
  return { day, ratio: (own?.worth ?? 0) / best };
}
