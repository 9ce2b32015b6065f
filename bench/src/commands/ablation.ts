import { MECHANISMS, parseMechanisms } from "@toucantrestle/routing";
import process from "node:process";
import { createDayRunner, DAY_FLAGS } from "../choosers/run_day.ts";
import type { BenchCommand } from "../command.ts";

/** Worth of one day with one mechanism switched off. */
interface AblationRow {
  day: string;
  /** Mechanism that is switched off; "none" for the complete product. */
  off: string;
  worth: number;
  worstWindows: number;
  promptTokensRead: number;
}

const NONE = "none";

/** Measures the worth of each mechanism by switching it off. */
export const ablation: BenchCommand = {
  help: "worth of days with each mechanism switched off in turn, without " +
    "charging processor time: --tool PROGRAM --site FILE --scratch FOLDER",
  flags: {
    ...DAY_FLAGS,
    off: { type: "string", default: [NONE, ...MECHANISMS].join(",") },
    atOnce: { type: "number", default: 4 },
  },
  async handler(flags) {
    const runner = createDayRunner(flags);
    const names = String(flags["off"]).split(",");
    parseMechanisms(names.filter((it) => it !== NONE).join(","));
    const runs = names.flatMap((off) => {
      const folder = runner.copyWithEnv(
        off,
        "TOUCANTRESTLE_DISABLED",
        off === NONE ? "" : off,
      );
      return runner.days.map((day) => ({ off, day, folder }));
    });
    const rows: AblationRow[] = [];
    const runNext = async () => {
      for (let next = runs.shift(); next; next = runs.shift()) {
        const { off, day, folder } = next;
        const metrics = await runner.run({
          day,
          reason: `trial on a copy: without ${off}`,
          folder,
        });
        const row = { day, off, ...metrics };
        rows.push(row);
        process.stderr.write(
          `${day}  ${off}  ${row.worth}  ${row.worstWindows}  ` +
            `${row.promptTokensRead}\n`,
        );
      }
    };
    const atOnce = Number(flags["atOnce"]);
    await Promise.all(Array.from({ length: atOnce }, runNext));
    return { rows };
  },
};
