import * as z from "zod";

/** Value of a table cell. */
export type CellValue = number | string | boolean | string[];

/** Cell type, which selects the parser and the validation schema. */
export type CellType =
  | "integer"
  | "number"
  | "text"
  | "flag"
  | "choice"
  | "list";

/** Definition of one column of a row kind. */
export interface ColumnDef {
  name: string;
  type: CellType;
  /** Unit for display, such as `tokens/s`. */
  unit?: string;
  min?: number;
  max?: number;
  choices?: readonly string[];
  /** Absent if the cell is required. */
  default?: CellValue;
  help: string;
}

const CELL_SCHEMAS: Record<CellType, (def: ColumnDef) => z.ZodType<CellValue>> =
  {
    integer: (def) => withBounds(z.number().int(), def),
    number: (def) => withBounds(z.number(), def),
    text: () => z.string().max(200),
    flag: () => z.boolean(),
    choice: (def) => z.enum((def.choices ?? []) as [string, ...string[]]),
    list: () => z.array(z.string().max(100)).max(100),
  };

const CELL_PARSERS: Record<CellType, (text: string) => unknown> = {
  integer: Number,
  number: Number,
  text: (text) => text,
  flag: (text) => parseFlag(text),
  choice: (text) => text,
  list: (text) =>
    text.split(",").map((it) => it.trim()).filter((it) => it !== ""),
};

/**
 * Validates a value against the definition of its column.
 *
 * @returns a description of the first violation, or undefined if the value is
 * valid
 */
export function checkCell(def: ColumnDef, value: unknown): string | undefined {
  const result = CELL_SCHEMAS[def.type](def).safeParse(value);
  if (result.success) return undefined;
  return `${def.name}: ${result.error.issues[0]?.message ?? "invalid value"}`;
}

/** Parses a cell value from operator input without validating it. */
export function parseCell(def: ColumnDef, text: string): unknown {
  return CELL_PARSERS[def.type](text);
}

/** Formats a cell value in the notation of `parseCell`, or `-` if undefined. */
export function formatCell(value: CellValue | undefined): string {
  if (value === undefined) return "-";
  if (Array.isArray(value)) return value.join(",");
  if (typeof value === "boolean") return value ? "yes" : "no";
  return String(value);
}

/** Returns whether two cell values are equal. */
export function areCellsEqual(
  a: CellValue | undefined,
  b: CellValue | undefined,
): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}

function withBounds(schema: z.ZodNumber, def: ColumnDef): z.ZodType<CellValue> {
  let boundedSchema = schema;
  if (def.min !== undefined) boundedSchema = boundedSchema.min(def.min);
  if (def.max !== undefined) boundedSchema = boundedSchema.max(def.max);
  return boundedSchema;
}

function parseFlag(text: string): unknown {
  if (text === "yes" || text === "true") return true;
  if (text === "no" || text === "false") return false;
  return text;
}
