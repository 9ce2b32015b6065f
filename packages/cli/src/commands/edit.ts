import {
  type CellChange,
  type CellValue,
  checkCell,
  findColumn,
  findRow,
  formatCell,
  getCellValue,
  parseCell,
  parseRowId,
  type Table,
} from "@toucantrestle/table";
import { randomUUID } from "node:crypto";
import {
  type Command,
  getStringFlag,
  requireArg,
  UsageError,
} from "../command.ts";
import { rejectNewWarnings } from "../reject_new_warnings.ts";

/** Changes cells of a row or removes the row. */
export const edit: Command = {
  help: `edit ROW CELL=VALUE... [--reason TEXT] [--force]
       edit ROW --remove

  Changes cells of a row, or removes the row. If another operator has changed a
  cell in the meantime, the edit is rejected and both values are shown. A change
  that would starve the system requires --force.`,
  flags: {
    reason: { type: "string" },
    remove: { type: "boolean" },
    force: { type: "boolean" },
  },
  async handler(ctx) {
    const row = requireArg(ctx, 0, "ROW");
    const table = await ctx.client.table();
    const changes = ctx.args.slice(1).map((it) => parseChange(table, row, it));
    const removals = ctx.flags["remove"] === true ? [row] : [];
    if (changes.length + removals.length === 0) {
      throw new UsageError("missing argument CELL=VALUE");
    }
    rejectNewWarnings(ctx, table, { changes, removals });
    const result = await ctx.client.edit({
      writeId: randomUUID(),
      reason: getStringFlag(ctx, "reason") ?? "",
      changes,
      removals,
    });
    ctx.print(formatResult(changes, result), { ...result, changes });
  },
};

function parseChange(table: Table, row: string, text: string): CellChange {
  const [column = "", ...rest] = text.split("=");
  if (rest.length === 0) throw new UsageError(`expected CELL=VALUE: "${text}"`);
  const def = findColumn(parseRowId(row).kind, column);
  if (!def) throw new UsageError(`row ${row} has no column "${column}"`);
  const value = parseCell(def, rest.join("="));
  const violation = checkCell(def, value);
  if (violation !== undefined) throw new UsageError(violation);
  const current = findRow(table, row);
  return {
    row,
    column,
    seen: current ? getCellValue(current, column) ?? null : null,
    value: value as CellValue,
  };
}

function formatResult(
  changes: CellChange[],
  result: { revision: number; warnings: string[] },
): string[] {
  return [
    ...changes.map((it) =>
      `${it.row} ${it.column}: ${formatCell(it.seen ?? undefined)} -> ${
        formatCell(it.value)
      }`
    ),
    ...result.warnings.map((it) => `warning: ${it}`),
    `revision ${result.revision} was accepted`,
  ];
}
