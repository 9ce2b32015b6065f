import { BadRequestError, ConflictError } from "@toucantrestle/verdict";
import { type CellValue, checkCell, formatCell, sameCell } from "./cell.ts";
import { COLUMNS, findColumn } from "./columns.ts";
import {
  cellOf,
  type Cells,
  findRow,
  parseRowId,
  type RecentWrite,
  type Row,
  type Table,
} from "./table.ts";

/** Change of one cell. The row is made when it is not there. */
export interface CellChange {
  row: string;
  column: string;
  /** Value the operator saw; null where there was no row. */
  seen: CellValue | null;
  value: CellValue;
}

/** One edit: all of it is accepted, or none. */
export interface Edit {
  /** Identifies the write, so that a lost answer can be settled. */
  writeId: string;
  author: string;
  reason: string;
  changes: CellChange[];
  /** Rows to remove. */
  removals: string[];
}

/** An accepted edit as the history shows it. */
export interface EditRecord extends Edit {
  revision: number;
  at: number;
}

const RECENT_WRITES_KEPT = 64;

/**
 * Applies an edit to the newest table. Edits of different cells merge; an edit
 * of a cell that has changed since the operator saw it is refused.
 *
 * @throws {ConflictError} with both values of each cell that has changed
 * @throws {BadRequestError} for a value that its column does not allow
 */
export function applyEdit(table: Table, edit: Edit): Table {
  if (findWrite(table, edit.writeId)) return table;
  checkShape(edit);
  checkSeen(table, edit);
  const rows = new Map(table.rows.map((row) => [row.id, row]));
  for (const change of edit.changes) changeCell(rows, change);
  for (const id of edit.removals) rows.delete(id);
  for (const id of new Set(edit.changes.map((it) => it.row))) {
    checkComplete(rows.get(id));
  }
  const revision = table.revision + 1;
  return {
    revision,
    rows: [...rows.values()].sort((a, b) => a.id < b.id ? -1 : 1),
    recentWrites: [...table.recentWrites, { writeId: edit.writeId, revision }]
      .slice(-RECENT_WRITES_KEPT),
  };
}

/** Changes that make a new row. */
export function newRow(row: string, cells: Cells): CellChange[] {
  return Object.entries(cells).map(([column, value]) => ({
    row,
    column,
    seen: null,
    value,
  }));
}

/** Finds an accepted edit by its write id. */
export function findWrite(
  table: Table,
  writeId: string,
): RecentWrite | undefined {
  return table.recentWrites.find((it) => it.writeId === writeId);
}

function checkShape(edit: Edit): void {
  if (edit.changes.length + edit.removals.length === 0) {
    throw new BadRequestError("the edit changes nothing");
  }
  for (const change of edit.changes) checkChange(change);
  for (const id of edit.removals) parseRowId(id);
}

function checkChange(change: CellChange): void {
  const { kind } = parseRowId(change.row);
  const def = findColumn(kind, change.column);
  if (!def) {
    throw new BadRequestError(
      `row ${change.row} has no column "${change.column}": it has ${
        COLUMNS[kind].map((it) => it.name).join(", ")
      }`,
    );
  }
  const fault = checkCell(def, change.value);
  if (fault !== undefined) {
    throw new BadRequestError(`row ${change.row}: ${fault}`);
  }
}

function checkSeen(table: Table, edit: Edit): void {
  const stale = edit.changes.filter((change) => isStale(table, change));
  if (stale.length === 0) return;
  const parts = stale.map((change) => describeStale(table, change));
  throw new ConflictError(
    `the table has changed since it was read: ${parts.join("; ")}`,
  );
}

function isStale(table: Table, change: CellChange): boolean {
  const row = findRow(table, change.row);
  if (!row) return change.seen !== null;
  if (change.seen === null) return true;
  return !sameCell(cellOf(row, change.column), change.seen);
}

function describeStale(table: Table, change: CellChange): string {
  const row = findRow(table, change.row);
  const now = row ? formatCell(cellOf(row, change.column)) : "no such row";
  const seen = change.seen === null ? "no such row" : formatCell(change.seen);
  return `${change.row} ${change.column} was ${seen} and is ${now}`;
}

function changeCell(rows: Map<string, Row>, change: CellChange): void {
  const row = rows.get(change.row);
  rows.set(change.row, {
    id: change.row,
    cells: { ...row?.cells, [change.column]: change.value },
  });
}

function checkComplete(row: Row | undefined): void {
  if (!row) return;
  const { kind } = parseRowId(row.id);
  for (const def of COLUMNS[kind]) {
    if (def.default === undefined && row.cells[def.name] === undefined) {
      throw new BadRequestError(`row ${row.id} needs a value for ${def.name}`);
    }
  }
}
