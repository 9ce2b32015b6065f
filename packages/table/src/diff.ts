import { type CellValue, formatCell, sameCell } from "./cell.ts";
import type { CellChange } from "./edit.ts";
import { cellOf, findRow, type Row, type Table } from "./table.ts";

/** What must change so that a table holds just the declared rows. */
export interface Difference {
  changes: CellChange[];
  removals: string[];
}

/** Compares declared rows with a table. */
export function diffTable(table: Table, declared: Row[]): Difference {
  const changes = declared.flatMap((row) => diffRow(table, row));
  const names = new Set(declared.map((row) => row.id));
  const removals = table.rows
    .filter((row) => !names.has(row.id))
    .map((row) => row.id);
  return { changes, removals };
}

/** Writes a difference as lines for people. */
export function formatDifference(difference: Difference): string[] {
  return [
    ...difference.changes.map((change) =>
      change.seen === null
        ? `+ ${change.row} ${change.column} = ${formatCell(change.value)}`
        : `~ ${change.row} ${change.column}: ${formatCell(change.seen)} -> ${
          formatCell(change.value)
        }`
    ),
    ...difference.removals.map((row) => `- ${row}`),
  ];
}

function diffRow(table: Table, row: Row): CellChange[] {
  const current = findRow(table, row.id);
  const changes: CellChange[] = [];
  for (const [column, value] of Object.entries(row.cells)) {
    const seen = seenValue(current, column);
    if (seen !== null && sameCell(seen, value)) continue;
    changes.push({ row: row.id, column, seen, value });
  }
  if (!current) return changes;
  return [...changes, ...resetColumns(current, row)];
}

function seenValue(row: Row | undefined, column: string): CellValue | null {
  if (!row) return null;
  return cellOf(row, column) ?? null;
}

/** Columns that the table sets and the declaration leaves at the default. */
function resetColumns(current: Row, declared: Row): CellChange[] {
  const changes: CellChange[] = [];
  for (const [column, seen] of Object.entries(current.cells)) {
    if (declared.cells[column] !== undefined) continue;
    const value = cellOf({ id: declared.id, cells: {} }, column);
    if (value === undefined || sameCell(value, seen)) continue;
    changes.push({ row: declared.id, column, seen, value });
  }
  return changes;
}
