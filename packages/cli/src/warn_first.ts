import {
  applyEdit,
  type CellChange,
  type Table,
  tableWarnings,
} from "@toucantrestle/table";
import { type CommandContext, UsageError } from "./command.ts";

/**
 * Warns of a change that would starve the system before it is sent.
 *
 * @throws {UsageError} with the new warnings, unless `--force` is given
 */
export function warnFirst(
  ctx: CommandContext,
  table: Table,
  change: { changes: CellChange[]; removals: string[] },
): void {
  if (ctx.flags["force"] === true) return;
  const known = new Set(tableWarnings(table));
  const after = applyEdit(table, {
    writeId: "before-sending",
    author: "",
    reason: "",
    ...change,
  });
  const fresh = tableWarnings(after).filter((it) => !known.has(it));
  if (fresh.length === 0) return;
  throw new UsageError(`${fresh.join("; ")}: use --force to change it anyway`);
}
