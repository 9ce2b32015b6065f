import {
  applyEdit,
  type CellChange,
  type Table,
  tableWarnings,
} from "@toucantrestle/table";
import { type CommandContext, UsageError } from "./command.ts";

/**
 * Applies a change locally before it is sent and rejects it if the resulting
 * table has warnings that the current table does not have.
 *
 * @throws {UsageError} with the new warnings, unless `--force` is set
 */
export function rejectNewWarnings(
  ctx: CommandContext,
  table: Table,
  change: { changes: CellChange[]; removals: string[] },
): void {
  if (ctx.flags["force"] === true) return;
  const currentWarnings = new Set(tableWarnings(table));
  const editedTable = applyEdit(table, {
    writeId: "before-sending",
    author: "",
    reason: "",
    ...change,
  });
  const newWarnings = tableWarnings(editedTable)
    .filter((it) => !currentWarnings.has(it));
  if (newWarnings.length === 0) return;
  throw new UsageError(`${newWarnings.join("; ")}: use --force to override`);
}
