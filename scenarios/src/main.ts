/**
 * Runs scenarios: `run NAME`, `all`, and `chaos --seed N --seconds S`.
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
import { runScenario } from "./world/runner.ts";

type Action = "run" | "all" | "chaos";

const ACTIONS: Record<Action, (words: string[]) => Promise<boolean>> = {
  run: ([name = ""]) => runOne(name),
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

const [action = "", ...words] = process.argv.slice(2);
const handler = ACTIONS[action as Action];
if (!handler) {
  process.stderr.write("use: run NAME | all | chaos --seed N --seconds S\n");
  process.exit(2);
}
process.exit(await handler(words) ? 0 : 1);

async function runAll(): Promise<boolean> {
  const names = readdirSync(SCRIPTS)
    .filter((it) => it.endsWith(".scenario"))
    .map((it) => it.replace(".scenario", ""))
    .sort();
  const waiting = [...names];
  const failed: string[] = [];
  const runNext = async (): Promise<void> => {
    for (let name = waiting.shift(); name !== undefined;) {
      if (!await runOne(name)) failed.push(name);
      name = waiting.shift();
    }
  };
  await Promise.all(Array.from({ length: PARALLEL_RUNS }, runNext));
  say(`${names.length - failed.length} passed, ${failed.length} failed`);
  return failed.length === 0;
}

async function runOne(name: string): Promise<boolean> {
  const file = join(SCRIPTS, `${name}.scenario`);
  const startedAt = performance.now();
  const steps = parseScript(file, readFileSync(file, "utf8"));
  const result = await runScenario(steps, {
    logFolder: `out/scenarios/${name}`,
  });
  const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1);
  const isGood = result.failure === undefined &&
    result.violations.length === 0;
  say(`${isGood ? "passed" : "FAILED"} ${name} (${seconds} s)`);
  if (result.failure !== undefined) say(`  ${result.failure}`);
  for (const it of result.violations) say(`  ${it.promise}: ${it.detail}`);
  return isGood;
}

async function runChaosCommand(words: string[]): Promise<boolean> {
  const seed = numberAfter(words, "--seed") ?? 1;
  const seconds = numberAfter(words, "--seconds") ?? 30;
  const logFolder = `out/chaos/${seed}`;
  const result = await runChaos({ seed, seconds, logFolder });
  for (const fault of result.plan) say(formatFault(fault));
  for (const line of describeChaos(result)) say(line);
  const file = `${logFolder}/history.json`;
  writeFileSync(file, JSON.stringify(result.history));
  for (const it of result.violations) say(`  ${it.promise}: ${it.detail}`);
  say(`${result.violations.length} violations, history in ${file}`);
  say(`again: npm run chaos -- --seed ${seed} --seconds ${seconds}`);
  return result.violations.length === 0;
}

function numberAfter(words: string[], flag: string): number | undefined {
  const at = words.indexOf(flag);
  return at === -1 ? undefined : Number(words[at + 1]);
}

function say(line: string): void {
  process.stdout.write(line + "\n");
}
