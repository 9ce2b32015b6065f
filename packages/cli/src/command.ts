import type { OperatorClient } from "@toucantrestle/operator";
import type { AnyFlags } from "meow";

/** Exit statuses of the command line. */
export const EXIT_STATUSES = {
  /** The command did what it says. */
  done: 0,
  /** The system refused or failed it. */
  failed: 1,
  /** The words of the call are wrong. */
  usage: 2,
  /** No daemon answered. */
  unreachable: 3,
} as const;

/** Values of a command's flags by camel-case name. */
export type FlagValues = Readonly<Record<string, unknown>>;

/** What a command's handler works with. */
export interface CommandContext {
  client: OperatorClient;
  args: readonly string[];
  flags: FlagValues;
  /** Prints lines for people, or the value where `--json` is given. */
  print(lines: readonly string[], value: unknown): void;
}

/** One command. */
export interface Command {
  /** First line: usage; then what it does. */
  help: string;
  flags: AnyFlags;
  handler(ctx: CommandContext): Promise<void>;
}

/** The words of a call are wrong. */
export class UsageError extends Error {
  override name = "UsageError";
}

/** Returns an argument that must be given. */
export function requireArg(
  ctx: CommandContext,
  index: number,
  name: string,
): string {
  const value = ctx.args[index];
  if (value !== undefined) return value;
  throw new UsageError(`${name} is missing`);
}

/** Returns a text flag, if it is given. */
export function textFlag(
  ctx: CommandContext,
  name: string,
): string | undefined {
  const value = ctx.flags[name];
  return typeof value === "string" ? value : undefined;
}
