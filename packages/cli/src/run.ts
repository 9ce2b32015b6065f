import { OperatorClient } from "@toucantrestle/operator";
import { RequestError } from "@toucantrestle/verdict";
import meow, { type AnyFlags } from "meow";
import { readFileSync } from "node:fs";
import type { Command, FlagValues } from "./command.ts";
import { EXIT_STATUSES, UsageError } from "./command.ts";
import { COMMANDS } from "./commands/table.ts";

/** Where a run reads from and writes to. */
export interface CliIo {
  argv: readonly string[];
  env: NodeJS.ProcessEnv;
  out(line: string): void;
  err(line: string): void;
}

const COMMON_FLAGS: AnyFlags = {
  url: { type: "string" },
  key: { type: "string" },
  ca: { type: "string" },
  json: { type: "boolean" },
};

const COMMON_HELP = `
  Flags of every command
    --url URL    a daemon [TOUCANTRESTLE_URL, http://127.0.0.1:7070]
    --key KEY    an operator's key [TOUCANTRESTLE_KEY]
    --ca FILE    authority of the daemon's certificate
    --json       machine-readable output

  Exit status: 0 done, 1 refused or failed, 2 wrong call, 3 no daemon answers
`;

/** Runs one command and returns the exit status. */
export async function runCli(io: CliIo): Promise<number> {
  const [name, ...rest] = io.argv;
  const command = name === undefined ? undefined : COMMANDS[name];
  if (!command) {
    io.err(overview());
    return name === "--help" ? EXIT_STATUSES.done : EXIT_STATUSES.usage;
  }
  if (rest.includes("--help")) {
    io.out(`toucantrestle ${command.help}\n${COMMON_HELP}`);
    return EXIT_STATUSES.done;
  }
  try {
    await runCommand(command, rest, io);
    return EXIT_STATUSES.done;
  } catch (err) {
    return reportError(err, io);
  }
}

async function runCommand(
  command: Command,
  argv: readonly string[],
  io: CliIo,
): Promise<void> {
  const flags = { ...COMMON_FLAGS, ...command.flags };
  const cli = meow("", {
    importMeta: import.meta,
    argv,
    flags,
    autoHelp: false,
    autoVersion: false,
  });
  const values = cli.flags as FlagValues;
  const unknown = Object.keys(values).find((it) => !(it in flags));
  if (unknown !== undefined) {
    throw new UsageError(`flag --${unknown} is not known`);
  }
  const client = createClient(values, io);
  try {
    await command.handler({
      client,
      args: cli.input,
      flags: values,
      print: (lines, value) => {
        if (values["json"] === true) io.out(JSON.stringify(value));
        else lines.forEach((line) => io.out(line));
      },
    });
  } finally {
    await client.close();
  }
}

function createClient(flags: FlagValues, io: CliIo): OperatorClient {
  const url = textOf(flags["url"]) ?? io.env["TOUCANTRESTLE_URL"] ??
    "http://127.0.0.1:7070";
  const key = textOf(flags["key"]) ?? io.env["TOUCANTRESTLE_KEY"] ?? "";
  const ca = textOf(flags["ca"]);
  return new OperatorClient({
    url,
    key,
    ...(ca === undefined ? {} : { ca: readFileSync(ca, "utf8") }),
  });
}

function reportError(err: unknown, io: CliIo): number {
  const message = err instanceof Error ? err.message : String(err);
  io.err(`toucantrestle: ${message}`);
  if (err instanceof UsageError) return EXIT_STATUSES.usage;
  const isUnreachable = err instanceof RequestError && err.status === 502;
  return isUnreachable ? EXIT_STATUSES.unreachable : EXIT_STATUSES.failed;
}

function overview(): string {
  const lines = Object.values(COMMANDS).map((it) => {
    const [usage, , text] = it.help.split("\n");
    return `  ${(usage ?? "").padEnd(44)}${(text ?? "").trim()}`;
  });
  return `Usage: toucantrestle COMMAND\n\n${lines.join("\n")}\n${COMMON_HELP}`;
}

function textOf(value: unknown): string | undefined {
  return typeof value === "string" ? value : undefined;
}
