/**
 * Load and experiment tool: `npm run bench -- NAME [flags]`.
 *
 * @module
 */
import meow from "meow";
import { writeFileSync } from "node:fs";
import process from "node:process";
import type { BenchCommand } from "./command.ts";
import { capacity } from "./commands/capacity.ts";
import { choosers } from "./commands/choosers.ts";
import { path } from "./commands/path.ts";
import { policy } from "./commands/policy.ts";

const COMMANDS: Readonly<Record<string, BenchCommand>> = {
  capacity,
  choosers,
  path,
  policy,
};

const [name = "", ...argv] = process.argv.slice(2);
const command = COMMANDS[name];
if (!command) {
  for (const [it, { help }] of Object.entries(COMMANDS)) {
    process.stderr.write(`bench ${it}: ${help}\n`);
  }
  process.exit(2);
}
const { json, ...rest } = readJsonFlag(argv);
const cli = meow(command.help, {
  importMeta: import.meta,
  argv: rest.argv,
  flags: command.flags,
});
const figures = await command.handler(cli.flags);
if (json.file !== undefined) {
  writeFileSync(json.file, JSON.stringify(figures, null, 2) + "\n");
}
process.stdout.write(
  (json.isGiven ? JSON.stringify(figures) : JSON.stringify(figures, null, 2)) +
    "\n",
);
process.exit(0);

/** `--json` prints the figures on one line; `--json FILE` writes a file too. */
function readJsonFlag(words: string[]) {
  const at = words.indexOf("--json");
  if (at === -1) {
    return { json: { isGiven: false, file: undefined }, argv: words };
  }
  const next = words[at + 1];
  const file = next !== undefined && !next.startsWith("--") ? next : undefined;
  const count = file === undefined ? 1 : 2;
  return {
    json: { isGiven: true, file },
    argv: words.toSpliced(at, count),
  };
}
