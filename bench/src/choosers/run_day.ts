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
  /** What the run tries, for the journal. */
  reason: string;
  seed?: number;
  /** Copy of the repository that is put under load. */
  folder: string;
}

const execFileAsync = promisify(execFile);
const MAX_OUTPUT_BYTES = 64_000_000;
const DAY_TIMEOUT_MS = 600_000;
const DEPLOY_FILE = "deploy/system.toml";
const FRONT_ROLE_HEADER = "[roles.front]\n";

/**
 * Copies the repository and sets an environment variable of the fronts in the
 * deploy file of the copy.
 *
 * @returns the folder of the copy
 */
export function copyRepositoryWithEnv(
  opts: {
    from: string;
    scratch: string;
    name: string;
    variable: string;
    value: string;
  },
): string {
  const folder = join(opts.scratch, opts.name);
  mkdirSync(folder, { recursive: true });
  cpSync(opts.from, folder, { recursive: true, verbatimSymlinks: true });
  const path = join(folder, DEPLOY_FILE);
  const env = `env = { ${opts.variable} = "${opts.value}" }\n`;
  const text = readFileSync(path, "utf8");
  writeFileSync(path, text.replace(FRONT_ROLE_HEADER, FRONT_ROLE_HEADER + env));
  return folder;
}

/**
 * Runs one day and returns its metrics. The bench doesn't charge processor time
 * (`--no-cpu`): without that charge the results are mostly reproducible.
 */
export async function runDay(run: DayRun): Promise<DayMetrics> {
  const seed = run.seed === undefined ? [] : ["--seed", String(run.seed)];
  const { stdout } = await execFileAsync(
    run.tool,
    ["run", run.site, run.day, ...seed, "--no-cpu", "--why", run.reason],
    { cwd: run.folder, maxBuffer: MAX_OUTPUT_BYTES, timeout: DAY_TIMEOUT_MS },
  );
  return parseDay(stdout);
}
