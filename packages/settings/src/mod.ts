/**
 * Reads settings from flags and environment variables and validates them
 * against a schema. A flag takes precedence over its environment variable.
 *
 * @module
 */
import { BadSettingError } from "./errors.ts";
import meow from "meow";
import process from "node:process";
import type { z } from "zod";

export { BadSettingError } from "./errors.ts";
export { formatReference } from "./reference.ts";

/** Value type of a flag. */
export type FlagType = "string" | "number" | "boolean";

/** Definition of one setting: flag, value type and help text. */
export interface SettingDef {
  /** Flag name in kebab case, without leading dashes. */
  flag: string;
  type: FlagType;
  /** One-line description for `--help`, including the unit. */
  help: string;
  /** Default value as displayed in `--help`. */
  defaultText?: string;
}

/** Setting definitions of a program, keyed by setting name in camel case. */
export type SettingDefs<T> = { [K in keyof T]-?: SettingDef };

const ENV_PREFIX = "TOUCANTRESTLE_";
const FLAG_COLUMN_WIDTH = 28;

/**
 * Reads and validates the settings of a program.
 *
 * @throws {BadSettingError} if a flag or argument is unknown or a value is
 * invalid
 */
export function readSettings<T>(
  opts: {
    name: string;
    summary: string;
    defs: SettingDefs<T>;
    schema: z.ZodType<T>;
    importMeta: ImportMeta;
    argv?: readonly string[];
    env?: NodeJS.ProcessEnv;
  },
): T {
  const defs = Object.entries<SettingDef>(opts.defs);
  const raw = readRawValues(opts, defs);
  const result = opts.schema.safeParse(raw);
  if (result.success) return result.data;
  const issue = result.error.issues[0];
  const key = String(issue?.path[0] ?? "");
  const def = defs.find(([name]) => name === key)?.[1];
  throw new BadSettingError(
    `invalid setting --${def?.flag ?? key} (${
      envName(def?.flag ?? key)
    }): ${issue?.message}`,
  );
}

/**
 * Reads and validates settings. If one is invalid, prints one line to stderr and
 * exits with status 2.
 */
export function readSettingsOrExit<T>(
  opts: Parameters<typeof readSettings<T>>[0],
): T {
  try {
    return readSettings(opts);
  } catch (err) {
    const message = err instanceof Error ? err.message : String(err);
    process.stderr.write(`${opts.name}: ${message}\n`);
    process.exit(2);
  }
}

/** Returns the name of the environment variable for a flag. */
export function envName(flag: string): string {
  return ENV_PREFIX + flag.toUpperCase().replaceAll("-", "_");
}

function readRawValues<T>(
  opts: Parameters<typeof readSettings<T>>[0],
  defs: [string, SettingDef][],
): Record<string, unknown> {
  const cli = meow(helpText(opts.name, opts.summary, defs), {
    importMeta: opts.importMeta,
    argv: opts.argv ?? process.argv.slice(2),
    description: false,
    flags: Object.fromEntries(
      defs.map(([name, def]) => [name, { type: def.type }]),
    ),
  });
  const known = new Set(defs.map(([name]) => name));
  const unknown = Object.keys(cli.flags).find((name) => !known.has(name));
  if (unknown !== undefined) {
    throw new BadSettingError(`unknown setting --${toKebabCase(unknown)}`);
  }
  if (cli.input.length > 0) {
    throw new BadSettingError(`unexpected argument "${cli.input[0]}"`);
  }
  const env = opts.env ?? process.env;
  const raw: Record<string, unknown> = {};
  const argv = opts.argv ?? process.argv.slice(2);
  for (const [name, def] of defs) {
    const isFlagGiven = argv.some((arg) => matchesFlag(arg, def.flag));
    raw[name] = isFlagGiven ? cli.flags[name] : readEnvValue(env, def);
  }
  return raw;
}

function matchesFlag(arg: string, flag: string): boolean {
  const name = arg.split("=")[0];
  return name === `--${flag}` || name === `--no-${flag}`;
}

function readEnvValue(env: NodeJS.ProcessEnv, def: SettingDef): unknown {
  const text = env[envName(def.flag)];
  if (text === undefined) return undefined;
  if (def.type === "number") return Number(text);
  if (def.type === "boolean") return text === "1" || text === "true";
  return text;
}

function helpText(
  name: string,
  summary: string,
  defs: [string, SettingDef][],
): string {
  const lines = defs.map(([, def]) => helpLine(def));
  return `
  ${summary}

  Usage: ${name} [flags]

  Each flag can also be set by an environment variable, for instance
  ${envName("log-level")} for --log-level. A flag takes precedence.

${lines.join("\n")}
`;
}

function helpLine(def: SettingDef): string {
  const flag = `  --${def.flag}`.padEnd(FLAG_COLUMN_WIDTH);
  const suffix = def.defaultText === undefined
    ? ""
    : ` [default: ${def.defaultText}]`;
  return `  ${flag} ${def.help}${suffix}`;
}

function toKebabCase(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}
