import { createDayRunner, DAY_FLAGS } from "../choosers/run_day.ts";
import type { DayMetrics } from "../choosers/parse_day.ts";
import type { BenchCommand } from "../command.ts";

/** Metrics of one day with one chooser. */
interface DayResult extends DayMetrics {
  day: string;
  chooser: string;
}

/** Compares upstream choosers on days of the platform's bench. */
export const choosers: BenchCommand = {
  help: "upstream choosers compared on days of the platform's bench, without " +
    "charging processor time: --tool PROGRAM --site FILE --scratch FOLDER",
  flags: {
    ...DAY_FLAGS,
    choosers: {
      type: "string",
      default: "expected_finish,least_loaded,sticky,round_robin",
    },
  },
  async handler(flags) {
    const runner = createDayRunner(flags);
    const { days } = runner;
    const chooserNames = String(flags["choosers"]).split(",");
    const rows: DayResult[] = [];
    for (const chooser of chooserNames) {
      const folder = runner.copyWithEnv(
        chooser,
        "TOUCANTRESTLE_CHOOSER",
        chooser,
      );
      const dayRows = await Promise.all(
        days.map(async (day): Promise<DayResult> => ({
          day,
          chooser,
          ...await runner.run({
            day,
            reason: `trial on a copy: ${chooser} as chooser`,
            folder,
          }),
        })),
      );
      rows.push(...dayRows);
      for (const it of dayRows) process.stderr.write(`${formatRow(it)}\n`);
    }
    return { rows, ratios: days.map((day) => computeRatio(day, rows)) };
  },
};

function formatRow(row: DayResult): string {
  const classes = row.classes.map((it) =>
    `${it.name} ${
      it.inAim.toFixed(3)
    } within target, p50/p99 ${it.p50Ms}/${it.p99Ms} ms`
  );
  return [row.day, row.chooser, row.worth, row.promptTokensRead, ...classes]
    .join("  ");
}

/** Returns the worth of the first chooser divided by the best of the others. */
function computeRatio(
  day: string,
  rows: DayResult[],
): { day: string; ratio: number } {
  const [firstRow, ...otherRows] = rows.filter((it) => it.day === day);
  const bestWorth = Math.max(...otherRows.map((it) => it.worth));
  return { day, ratio: (firstRow?.worth ?? 0) / bestWorth };
}
