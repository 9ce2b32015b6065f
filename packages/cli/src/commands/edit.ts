import {
  type CellChange,
  cellOf,
  type CellValue,
  checkCell,
  findColumn,
  findRow,
  formatCell,
  parseCell,
  parseRowId,
  type Table,
} from "@toucantrestle/table";
import { randomUUID } from "node:crypto";
import { type Command, requireArg, textFlag, UsageError } from "../command.ts";
import { warnFirst } from "../warn_first.ts";

/** Changes some cells of a row. */
export const edit: Command = {
  help: `edit ROW CELL=VALUE... [--reason TEXT] [--force]
       edit ROW --remove

  Changes cells of a row, or removes it. A cell that somebody else changed
  meanwhile is refused, with both values. A change that would starve the system
  needs --force.`,
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
      throw new UsageError("CELL=VALUE is missing");
    }
    warnFirst(ctx, table, { changes, removals });
    const answer = await ctx.client.edit({
      writeId: randomUUID(),
      reason: textFlag(ctx, "reason") ?? "",
      changes,
      removals,
    });
    ctx.print(describe(changes, answer), { ...answer, changes });
  },
};

function parseChange(table: Table, row: string, text: string): CellChange {
  const [column = "", ...rest] = text.split("=");
  if (rest.length === 0) throw new UsageError(`"${text}" is not CELL=VALUE`);
  const def = findColumn(parseRowId(row).kind, column);
  if (!def) throw new UsageError(`row ${row} has no column "${column}"`);
  const value = parseCell(def, rest.join("="));
  const fault = checkCell(def, value);
  if (fault !== undefined) throw new UsageError(fault);
  const current = findRow(table, row);
  return {
    row,
    column,
    seen: current ? cellOf(current, column) ?? null : null,
    value: value as CellValue,
  };
}

function describe(
  changes: CellChange[],
  answer: { revision: number; warnings: string[] },
): string[] {
  return [
    ...changes.map((it) =>
      `${it.row} ${it.column}: ${formatCell(it.seen ?? undefined)} -> ${
        formatCell(it.value)
      }`
    ),
    ...answer.warnings.map((it) => `warning: ${it}`),
    `revision ${answer.revision} is accepted`,
  ];
}
