/**
 * Load generator and experiment runner: `npm run bench -- NAME [flags]`.
 *
 * @module
 */
import { handleOutputErrors } from "@toucantrestle/lifecycle";
import meow from "meow";
import { writeFileSync } from "node:fs";
import process from "node:process";
import type { BenchCommand } from "./command.ts";
import { ablation } from "./commands/ablation.ts";
import { callCost } from "./commands/call_cost.ts";
import { capacity } from "./commands/capacity.ts";
import { choosers } from "./commands/choosers.ts";
import { path } from "./commands/path.ts";
import { policy } from "./commands/policy.ts";
import { worth } from "./commands/worth.ts";

const COMMANDS: Readonly<Record<string, BenchCommand>> = {
  ablation,
  "call-cost": callCost,
  capacity,
  choosers,
  path,
  policy,
  worth,
};

handleOutputErrors("bench");
const [name = "", ...argv] = process.argv.slice(2);
const command = COMMANDS[name];
if (!command) {
  for (const [it, { help }] of Object.entries(COMMANDS)) {
    process.stderr.write(`bench ${it}: ${help}\n`);
  }
  process.exit(2);
}
const { json, ...remaining } = parseJsonFlag(argv);
const cli = meow(command.help, {
  importMeta: import.meta,
  argv: remaining.argv,
  flags: command.flags,
});
const results = await runCommand(command).catch(exitWithError);
if (json.file !== undefined) {
  writeFileSync(json.file, JSON.stringify(results, null, 2) + "\n");
}
process.stdout.write(
  (json.isGiven ? JSON.stringify(results) : JSON.stringify(results, null, 2)) +
    "\n",
);
process.exit(0);

async function runCommand(it: BenchCommand): Promise<unknown> {
  return await it.handler(cli.flags);
}

/** Prints a failure in one line, since most are caused by bad input. */
function exitWithError(err: unknown): never {
  const reason = err instanceof Error ? err.message : String(err);
  process.stderr.write(`bench ${name}: ${reason}\n`);
  process.exit(1);
}

/**
 * Extracts the `--json` flag: `--json` prints the results on a single line,
 * `--json FILE` also writes them to a file.
 */
function parseJsonFlag(args: string[]) {
  const flagIndex = args.indexOf("--json");
  if (flagIndex === -1) {
    return { json: { isGiven: false, file: undefined }, argv: args };
  }
  const nextArg = args[flagIndex + 1];
  const file = nextArg !== undefined && !nextArg.startsWith("--")
    ? nextArg
    : undefined;
  const argCount = file === undefined ? 1 : 2;
  return {
    json: { isGiven: true, file },
    argv: args.toSpliced(flagIndex, argCount),
  };
}
