import { execFile } from "node:child_process";
import { cpSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { join, resolve } from "node:path";
import process from "node:process";
import { promisify } from "node:util";
import type { BenchFlags } from "../command.ts";
import { type DayMetrics, parseDay } from "./parse_day.ts";

/** Parameters of one run of the platform's bench. */
interface DayRun {
  /** Path of the executable of the platform's bench. */
  tool: string;
  /** Path of the site file. */
  site: string;
  /** Name of the day to run. */
  day: string;
  /** What the run tries, for the journal. */
  reason: string;
  /** Copy of the repository that is put under load. */
  folder: string;
}

/** Flags of the commands that run days of the platform's bench. */
export const DAY_FLAGS = {
  tool: { type: "string", isRequired: true },
  site: { type: "string", isRequired: true },
  scratch: { type: "string", isRequired: true },
  days: { type: "string", default: "scale-1,scale-2" },
} as const;

/** Parameters that all runs of a command have in common. */
export interface DayRunner {
  days: string[];
  /** Copies the repository with an environment variable of the fronts. */
  copyWithEnv(name: string, variable: string, value: string): string;
  /** Runs one day in a copy. */
  run(opts: { day: string; folder: string; reason: string }): Promise<
    DayMetrics
  >;
}

/** Creates the runner that the values of `DAY_FLAGS` describe. */
export function createDayRunner(flags: BenchFlags): DayRunner {
  const tool = resolve(String(flags["tool"]));
  const site = resolve(String(flags["site"]));
  const scratch = resolve(String(flags["scratch"]));
  return {
    days: String(flags["days"]).split(","),
    copyWithEnv: (name, variable, value) =>
      copyRepositoryWithEnv({
        from: process.cwd(),
        scratch,
        name,
        variable,
        value,
      }),
    run: (opts) => runDay({ tool, site, ...opts }),
  };
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
function copyRepositoryWithEnv(
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
async function runDay(run: DayRun): Promise<DayMetrics> {
  const { stdout } = await execFileAsync(
    run.tool,
    ["run", run.site, run.day, "--no-cpu", "--why", run.reason],
    { cwd: run.folder, maxBuffer: MAX_OUTPUT_BYTES, timeout: DAY_TIMEOUT_MS },
  );
  return parseDay(stdout);
}
