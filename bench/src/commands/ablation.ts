import { MECHANISMS, parseMechanisms } from "@toucantrestle/routing";
import { resolve } from "node:path";
import process from "node:process";
import { copyRepositoryWithEnv, runDay } from "../choosers/run_day.ts";
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
    tool: { type: "string", isRequired: true },
    site: { type: "string", isRequired: true },
    scratch: { type: "string", isRequired: true },
    days: { type: "string", default: "scale-1,scale-2" },
    off: { type: "string", default: [NONE, ...MECHANISMS].join(",") },
    atOnce: { type: "number", default: 4 },
  },
  async handler(flags) {
    const days = String(flags["days"]).split(",");
    const names = String(flags["off"]).split(",");
    parseMechanisms(names.filter((it) => it !== NONE).join(","));
    const runs = names.flatMap((off) => {
      const folder = copyRepositoryWithEnv({
        from: process.cwd(),
        scratch: resolve(String(flags["scratch"])),
        name: off,
        variable: "TOUCANTRESTLE_DISABLED",
        value: off === NONE ? "" : off,
      });
      return days.map((day) => ({ off, day, folder }));
    });
    const rows: AblationRow[] = [];
    const runNext = async () => {
      for (let next = runs.shift(); next; next = runs.shift()) {
        const { off, day, folder } = next;
        const metrics = await runDay({
          tool: resolve(String(flags["tool"])),
          site: resolve(String(flags["site"])),
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
