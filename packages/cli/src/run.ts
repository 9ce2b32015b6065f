import { OperatorClient } from "@toucantrestle/operator";
import { RequestError } from "@toucantrestle/verdict";
import meow, { type AnyFlags } from "meow";
import { readFileSync } from "node:fs";
import type { Command, FlagValues } from "./command.ts";
import { EXIT_STATUSES, UsageError } from "./command.ts";
import { COMMANDS } from "./commands/registry.ts";

/** Arguments, environment and output streams of a command run. */
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
  Common flags
    --url URL    URL of a daemon [TOUCANTRESTLE_URL, http://127.0.0.1:7070]
    --key KEY    operator key [TOUCANTRESTLE_KEY]
    --ca FILE    CA certificate for verifying the daemon, in PEM format
    --json       print JSON

  Exit status: 0 success, 1 rejected or failed, 2 invalid usage,
  3 daemon unreachable
`;

/** Runs a command and returns the exit status. */
export async function runCli(io: CliIo): Promise<number> {
  const [name, ...rest] = io.argv;
  const command = name === undefined ? undefined : COMMANDS[name];
  if (!command) {
    io.err(formatOverview());
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
    throw new UsageError(`unknown flag --${unknown}`);
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
  const url = stringOrUndefined(flags["url"]) ?? io.env["TOUCANTRESTLE_URL"] ??
    "http://127.0.0.1:7070";
  const key = stringOrUndefined(flags["key"]) ?? io.env["TOUCANTRESTLE_KEY"] ??
    "";
  const ca = stringOrUndefined(flags["ca"]);
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

function formatOverview(): string {
  const lines = Object.values(COMMANDS).map((it) => {
    const [usage, , text] = it.help.split("\n");
    return `  ${(usage ?? "").padEnd(44)}${(text ?? "").trim()}`;
  });
  return `Usage: toucantrestle COMMAND\n\n${lines.join("\n")}\n${COMMON_HELP}`;
}

function stringOrUndefined(value: unknown): string | undefined {
  return typeof value === "string" ? value : undefined;
}
