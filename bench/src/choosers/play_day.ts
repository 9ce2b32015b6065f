import { execFile } from "node:child_process";
import { cpSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { promisify } from "node:util";
import { type DayFigures, readDay } from "./read_day.ts";

/** A day to be played with one chooser. */
export interface DayPlan {
  /** Program of the platform's bench. */
  tool: string;
  site: string;
  day: string;
  chooser: string;
  /** Copy of the repository that is played. */
  folder: string;
}

const run = promisify(execFile);
const MAX_OUTPUT_BYTES = 64_000_000;
const DAY_LIMIT_MS = 600_000;
const DEPLOY_FILE = "deploy/system.toml";
const FRONT_HEAD = "[roles.front]\n";

/** Copies the repository with another chooser in its deploy file. */
export function copyWithChooser(
  opts: { from: string; scratch: string; chooser: string },
): string {
  const folder = join(opts.scratch, opts.chooser);
  mkdirSync(folder, { recursive: true });
  cpSync(opts.from, folder, { recursive: true, verbatimSymlinks: true });
  const path = join(folder, DEPLOY_FILE);
  const env = `env = { TOUCANTRESTLE_CHOOSER = "${opts.chooser}" }\n`;
  const text = readFileSync(path, "utf8");
  writeFileSync(path, text.replace(FRONT_HEAD, FRONT_HEAD + env));
  return folder;
}

/** Plays a day without charging processor time, so that it mostly repeats. */
export async function playDay(plan: DayPlan): Promise<DayFigures> {
  const why = `trial on a copy: ${plan.chooser} as chooser`;
  const { stdout } = await run(
    plan.tool,
    ["run", plan.site, plan.day, "--no-cpu", "--why", why],
    { cwd: plan.folder, maxBuffer: MAX_OUTPUT_BYTES, timeout: DAY_LIMIT_MS },
  );
  return readDay(stdout);
}
