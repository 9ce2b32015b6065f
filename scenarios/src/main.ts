/**
 * Command line of the scenarios: `run NAME` runs one script, `all` runs every
 * script, and `chaos --seed N --seconds S` runs programs under random faults.
 *
 * @module
 */
import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { describeChaos } from "./chaos/describe.ts";
import { formatFault } from "./chaos/plan.ts";
import { runChaos } from "./chaos/run.ts";
import { parseScript } from "./language/parse.ts";
import { runScenario } from "./environment/runner.ts";

type Command = "run" | "all" | "chaos";

const COMMANDS: Record<Command, (args: string[]) => Promise<boolean>> = {
  run: ([name = ""]) => runScript(name),
  all: () => runAll(),
  chaos: runChaosCommand,
};

const SCRIPTS = join(
  dirname(fileURLToPath(import.meta.url)),
  "..",
  "..",
  "scripts",
);

const PARALLEL_RUNS = 3;

const [command = "", ...args] = process.argv.slice(2);
const handler = COMMANDS[command as Command];
if (!handler) {
  process.stderr.write("usage: run NAME | all | chaos --seed N --seconds S\n");
  process.exit(2);
}
process.exit(await handler(args) ? 0 : 1);

async function runAll(): Promise<boolean> {
  const names = readdirSync(SCRIPTS)
    .filter((it) => it.endsWith(".scenario"))
    .map((it) => it.replace(".scenario", ""))
    .sort();
  const pending = [...names];
  const failed: string[] = [];
  const runNext = async (): Promise<void> => {
    for (let name = pending.shift(); name !== undefined;) {
      if (!await runScript(name)) failed.push(name);
      name = pending.shift();
    }
  };
  await Promise.all(Array.from({ length: PARALLEL_RUNS }, runNext));
  print(`${names.length - failed.length} passed, ${failed.length} failed`);
  return failed.length === 0;
}

async function runScript(name: string): Promise<boolean> {
  const file = join(SCRIPTS, `${name}.scenario`);
  const startedAt = performance.now();
  const steps = parseScript(file, readFileSync(file, "utf8"));
  const result = await runScenario(steps, {
    logFolder: `out/scenarios/${name}`,
  });
  const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1);
  const hasPassed = result.failure === undefined &&
    result.violations.length === 0;
  print(`${hasPassed ? "passed" : "FAILED"} ${name} (${seconds} s)`);
  if (result.failure !== undefined) print(`  ${result.failure}`);
  for (const it of result.violations) print(`  ${it.guarantee}: ${it.detail}`);
  return hasPassed;
}

async function runChaosCommand(args: string[]): Promise<boolean> {
  const seed = parseNumberFlag(args, "--seed") ?? 1;
  const seconds = parseNumberFlag(args, "--seconds") ?? 30;
  const logFolder = `out/chaos/${seed}`;
  const result = await runChaos({ seed, seconds, logFolder });
  for (const fault of result.plan) print(formatFault(fault));
  for (const line of describeChaos(result)) print(line);
  const file = `${logFolder}/history.json`;
  writeFileSync(file, JSON.stringify(result.history));
  for (const it of result.violations) print(`  ${it.guarantee}: ${it.detail}`);
  print(
    `${result.violations.length} violations, history written to ${file}`,
  );
  print(
    `reproduce with: npm run chaos -- --seed ${seed} --seconds ${seconds}`,
  );
  return result.violations.length === 0;
}

function parseNumberFlag(args: string[], flag: string): number | undefined {
  const at = args.indexOf(flag);
  return at === -1 ? undefined : Number(args[at + 1]);
}

function print(line: string): void {
  process.stdout.write(line + "\n");
}
