import * as z from "zod";

/** Value of a cell. */
export type CellValue = number | string | boolean | string[];

/** Type of a cell, which decides how a text is read and checked. */
export type CellType =
  | "integer"
  | "number"
  | "text"
  | "flag"
  | "choice"
  | "list";

/** Definition of one column of a kind of row. */
export interface CellDef {
  name: string;
  type: CellType;
  /** Unit for people, such as `tokens/s`. */
  unit?: string;
  min?: number;
  max?: number;
  choices?: readonly string[];
  /** Absent when the cell must be given. */
  default?: CellValue;
  help: string;
}

const SCHEMAS: Record<CellType, (def: CellDef) => z.ZodType<CellValue>> = {
  integer: (def) => bounded(z.number().int(), def),
  number: (def) => bounded(z.number(), def),
  text: () => z.string().max(200),
  flag: () => z.boolean(),
  choice: (def) => z.enum((def.choices ?? []) as [string, ...string[]]),
  list: () => z.array(z.string().max(100)).max(100),
};

const PARSERS: Record<CellType, (text: string) => unknown> = {
  integer: Number,
  number: Number,
  text: (text) => text,
  flag: (text) => parseFlag(text),
  choice: (text) => text,
  list: (text) =>
    text.split(",").map((it) => it.trim()).filter((it) => it !== ""),
};

/**
 * Checks a value against its column.
 *
 * @returns a sentence on what is wrong, or undefined
 */
export function checkCell(def: CellDef, value: unknown): string | undefined {
  const result = SCHEMAS[def.type](def).safeParse(value);
  if (result.success) return undefined;
  return `${def.name}: ${result.error.issues[0]?.message ?? "not valid"}`;
}

/** Reads a cell's value from text as an operator types it. */
export function parseCell(def: CellDef, text: string): unknown {
  return PARSERS[def.type](text);
}

/** Writes a cell's value as an operator would type it. */
export function formatCell(value: CellValue | undefined): string {
  if (value === undefined) return "-";
  if (Array.isArray(value)) return value.join(",");
  if (typeof value === "boolean") return value ? "yes" : "no";
  return String(value);
}

/** Tells whether two cell values are the same. */
export function sameCell(
  a: CellValue | undefined,
  b: CellValue | undefined,
): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}

function bounded(schema: z.ZodNumber, def: CellDef): z.ZodType<CellValue> {
  let checked = schema;
  if (def.min !== undefined) checked = checked.min(def.min);
  if (def.max !== undefined) checked = checked.max(def.max);
  return checked;
}

function parseFlag(text: string): unknown {
  if (text === "yes" || text === "true") return true;
  if (text === "no" || text === "false") return false;
  return text;
}
