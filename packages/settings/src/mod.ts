/**
 * Settings from flags and environment variables, the flag first, checked
 * against a schema.
 *
 * @module
 */
import { BadSettingError } from "./errors.ts";
import meow from "meow";
import process from "node:process";
import type { z } from "zod";

export { BadSettingError } from "./errors.ts";
export { formatReference } from "./reference.ts";

/** Kind of value a flag takes. */
export type FlagType = "string" | "number" | "boolean";

/** One setting: how it is written, what it means, and how it is checked. */
export interface SettingDef {
  /** Flag without dashes, in kebab case. */
  flag: string;
  type: FlagType;
  /** One line for `--help`, with the unit. */
  help: string;
  /** Text of the default in `--help`. */
  defaultText?: string;
}

/** Settings of a program by the camel-case name of the flag. */
export type SettingDefs<T> = { [K in keyof T]-?: SettingDef };

const ENV_PREFIX = "TOUCANTRESTLE_";
const FLAG_COLUMN_WIDTH = 28;

/**
 * Reads, checks and returns the settings of a program.
 *
 * @throws {BadSettingError} for an unknown flag or a value out of its bounds
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
  const raw = readRaw(opts, defs);
  const result = opts.schema.safeParse(raw);
  if (result.success) return result.data;
  const issue = result.error.issues[0];
  const key = String(issue?.path[0] ?? "");
  const def = defs.find(([name]) => name === key)?.[1];
  throw new BadSettingError(
    `setting --${def?.flag ?? key} (${
      envName(def?.flag ?? key)
    }) is not valid: ${issue?.message}`,
  );
}

/** Reads settings; on a bad one prints one line and exits with status 2. */
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

/** Name of the environment variable of a flag. */
export function envName(flag: string): string {
  return ENV_PREFIX + flag.toUpperCase().replaceAll("-", "_");
}

function readRaw<T>(
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
    throw new BadSettingError(`setting --${kebab(unknown)} is not known`);
  }
  if (cli.input.length > 0) {
    throw new BadSettingError(`argument "${cli.input[0]}" is not known`);
  }
  const env = opts.env ?? process.env;
  const raw: Record<string, unknown> = {};
  const given = opts.argv ?? process.argv.slice(2);
  for (const [name, def] of defs) {
    const isGiven = given.some((arg) => isFlag(arg, def.flag));
    raw[name] = isGiven ? cli.flags[name] : fromEnv(env, def);
  }
  return raw;
}

function isFlag(arg: string, flag: string): boolean {
  const name = arg.split("=")[0];
  return name === `--${flag}` || name === `--no-${flag}`;
}

function fromEnv(env: NodeJS.ProcessEnv, def: SettingDef): unknown {
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

  Each flag can be set by an environment variable instead, for instance
  ${envName("log-level")} for --log-level. A flag goes first.

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

function kebab(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}
