import { areCellsEqual, type CellValue, formatCell } from "./cell.ts";
import type { CellChange } from "./edit.ts";
import { findRow, getCellValue, type Row, type Table } from "./table.ts";

/** Changes that make a table equal to a set of declared rows. */
export interface Difference {
  changes: CellChange[];
  removals: string[];
}

/** Returns the changes that make the table equal to the declared rows. */
export function diffTable(table: Table, declared: Row[]): Difference {
  const changes = declared.flatMap((row) => diffRow(table, row));
  const declaredIds = new Set(declared.map((row) => row.id));
  const removals = table.rows
    .filter((row) => !declaredIds.has(row.id))
    .map((row) => row.id);
  return { changes, removals };
}

/** Formats a difference as human-readable lines. */
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
    const seen = currentValue(current, column);
    if (seen !== null && areCellsEqual(seen, value)) continue;
    changes.push({ row: row.id, column, seen, value });
  }
  if (!current) return changes;
  return [...changes, ...resetOmittedColumns(current, row)];
}

function currentValue(row: Row | undefined, column: string): CellValue | null {
  if (!row) return null;
  return getCellValue(row, column) ?? null;
}

/**
 * Returns changes that reset cells to their default if the table sets them and
 * the declaration omits them.
 */
function resetOmittedColumns(current: Row, declared: Row): CellChange[] {
  const changes: CellChange[] = [];
  for (const [column, seen] of Object.entries(current.cells)) {
    if (declared.cells[column] !== undefined) continue;
    const value = getCellValue({ id: declared.id, cells: {} }, column);
    if (value === undefined || areCellsEqual(value, seen)) continue;
    changes.push({ row: declared.id, column, seen, value });
  }
  return changes;
}
