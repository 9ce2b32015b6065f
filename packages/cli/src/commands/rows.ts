import {
  COLUMNS,
  formatCell,
  getCellValue,
  parseRowId,
  type Row,
} from "@toucantrestle/table";
import type { Command } from "../command.ts";

/** Prints rows of the table. */
export const rows: Command = {
  help: `rows [PREFIX]

  Prints the rows whose id starts with PREFIX, such as "caller/".`,
  flags: {},
  async handler(ctx) {
    const table = await ctx.client.table();
    const prefix = ctx.args[0] ?? "";
    const shown = table.rows.filter((row) => row.id.startsWith(prefix));
    ctx.print(
      [`revision ${table.revision}`, ...shown.flatMap(formatRow)],
      { revision: table.revision, rows: shown },
    );
  },
};

function formatRow(row: Row): string[] {
  const { kind } = parseRowId(row.id);
  const cells = COLUMNS[kind].map((def) => {
    const unit = def.unit === undefined ? "" : ` ${def.unit}`;
    const suffix = row.cells[def.name] === undefined ? " (default)" : "";
    const value = formatCell(getCellValue(row, def.name));
    return `  ${def.name} = ${value}${unit}${suffix}`;
  });
  return [row.id, ...cells];
}
