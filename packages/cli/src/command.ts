import type { OperatorClient } from "@toucantrestle/operator";
import type { AnyFlags } from "meow";

/** Exit statuses of the process. */
export const EXIT_STATUSES = {
  /** The command succeeded. */
  done: 0,
  /** The daemon rejected the request, or the command failed. */
  failed: 1,
  /** The command or its arguments are invalid. */
  usage: 2,
  /** The daemon did not respond. */
  unreachable: 3,
} as const;

/** Parsed flag values, keyed by flag name in camel case. */
export type FlagValues = Readonly<Record<string, unknown>>;

/** Context passed to a command handler. */
export interface CommandContext {
  client: OperatorClient;
  args: readonly string[];
  flags: FlagValues;
  /** Prints the lines, or the value as JSON if `--json` is set. */
  print(lines: readonly string[], value: unknown): void;
}

/** Command definition. */
export interface Command {
  /** Help text: usage lines, an empty line and a description. */
  help: string;
  flags: AnyFlags;
  handler(ctx: CommandContext): Promise<void>;
}

/** Thrown if the command or its arguments are invalid. */
export class UsageError extends Error {
  override name = "UsageError";
}

/**
 * Returns a required positional argument.
 *
 * @throws {UsageError} if the argument is missing
 */
export function requireArg(
  ctx: CommandContext,
  index: number,
  name: string,
): string {
  const value = ctx.args[index];
  if (value !== undefined) return value;
  throw new UsageError(`missing argument ${name}`);
}

/** Returns the value of a string flag, or undefined if it is not set. */
export function getStringFlag(
  ctx: CommandContext,
  name: string,
): string | undefined {
  const value = ctx.flags[name];
  return typeof value === "string" ? value : undefined;
}
