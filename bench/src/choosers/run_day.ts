import { execFile } from "node:child_process";
import { cpSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { promisify } from "node:util";
import { type DayMetrics, parseDay } from "./parse_day.ts";

/** Parameters of one run of the platform's bench. */
export interface DayRun {
  /** Path of the executable of the platform's bench. */
  tool: string;
  /** Path of the site file. */
  site: string;
  /** Name of the day to run. */
  day: string;
  /** Algorithm that selects an upstream for a call. */
  chooser: string;
  /** Copy of the repository that is put under load. */
  folder: string;
}

const execFileAsync = promisify(execFile);
const MAX_OUTPUT_BYTES = 64_000_000;
const DAY_TIMEOUT_MS = 600_000;
const DEPLOY_FILE = "deploy/system.toml";
const FRONT_ROLE_HEADER = "[roles.front]\n";

/**
 * Copies the repository and sets the chooser in the deploy file of the copy.
 *
 * @returns the folder of the copy
 */
export function copyRepositoryWithChooser(
  opts: { from: string; scratch: string; chooser: string },
): string {
  const folder = join(opts.scratch, opts.chooser);
  mkdirSync(folder, { recursive: true });
  cpSync(opts.from, folder, { recursive: true, verbatimSymlinks: true });
  const path = join(folder, DEPLOY_FILE);
  const env = `env = { TOUCANTRESTLE_CHOOSER = "${opts.chooser}" }\n`;
  const text = readFileSync(path, "utf8");
  writeFileSync(path, text.replace(FRONT_ROLE_HEADER, FRONT_ROLE_HEADER + env));
  return folder;
}

/**
 * Runs one day and returns its metrics. The bench doesn't charge processor time
 * (`--no-cpu`): without that charge the results are mostly reproducible.
 */
export async function runDay(run: DayRun): Promise<DayMetrics> {
  const reason = `trial on a copy: ${run.chooser} as chooser`;
  const { stdout } = await execFileAsync(
    run.tool,
    ["run", run.site, run.day, "--no-cpu", "--why", reason],
    { cwd: run.folder, maxBuffer: MAX_OUTPUT_BYTES, timeout: DAY_TIMEOUT_MS },
  );
  return parseDay(stdout);
}
