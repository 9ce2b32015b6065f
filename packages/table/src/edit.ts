import { BadRequestError, ConflictError } from "@toucantrestle/verdict";
import {
  areCellsEqual,
  type CellValue,
  checkCell,
  formatCell,
} from "./cell.ts";
import { COLUMNS, findColumn } from "./columns.ts";
import {
  type Cells,
  findRow,
  getCellValue,
  parseRowId,
  type RecentWrite,
  type Row,
  type Table,
} from "./table.ts";

/** Change of one cell. Creates the row if it does not exist. */
export interface CellChange {
  row: string;
  column: string;
  /** Value that the operator read; null if the row did not exist. */
  seen: CellValue | null;
  value: CellValue;
}

/** Atomic edit: either all changes are accepted, or none. */
export interface Edit {
  /**
   * Idempotency key. Shows whether a write was accepted if its response was
   * lost.
   */
  writeId: string;
  author: string;
  reason: string;
  changes: CellChange[];
  /** Ids of the rows to remove. */
  removals: string[];
}

/** Accepted edit as recorded in the history. */
export interface EditRecord extends Edit {
  revision: number;
  at: number;
}

const MAX_RECENT_WRITES = 64;

/**
 * Applies an edit to the latest table revision. Concurrent edits of different
 * cells are merged. An edit of a cell that has changed since the operator read
 * it is rejected. Retrying a recently accepted edit returns the table unchanged.
 *
 * @throws {ConflictError} with the read and the current value of each stale
 * cell
 * @throws {BadRequestError} if a value violates the constraints of its column
 */
export function applyEdit(table: Table, edit: Edit): Table {
  if (findRecentWrite(table, edit.writeId)) return table;
  validateEdit(edit);
  rejectStaleChanges(table, edit);
  const rows = new Map(table.rows.map((row) => [row.id, row]));
  for (const change of edit.changes) setCell(rows, change);
  for (const id of edit.removals) rows.delete(id);
  for (const id of new Set(edit.changes.map((it) => it.row))) {
    checkRequiredCells(rows.get(id));
  }
  const revision = table.revision + 1;
  return {
    revision,
    rows: [...rows.values()].sort((a, b) => a.id < b.id ? -1 : 1),
    recentWrites: [...table.recentWrites, { writeId: edit.writeId, revision }]
      .slice(-MAX_RECENT_WRITES),
  };
}

/** Returns the cell changes that create a row. */
export function createRowChanges(row: string, cells: Cells): CellChange[] {
  return Object.entries(cells).map(([column, value]) => ({
    row,
    column,
    seen: null,
    value,
  }));
}

/** Returns the recently accepted edit with the given write id. */
export function findRecentWrite(
  table: Table,
  writeId: string,
): RecentWrite | undefined {
  return table.recentWrites.find((it) => it.writeId === writeId);
}

function validateEdit(edit: Edit): void {
  if (edit.changes.length + edit.removals.length === 0) {
    throw new BadRequestError("the edit contains no changes and no removals");
  }
  for (const change of edit.changes) validateChange(change);
  for (const id of edit.removals) parseRowId(id);
}

function validateChange(change: CellChange): void {
  const { kind } = parseRowId(change.row);
  const def = findColumn(kind, change.column);
  if (!def) {
    throw new BadRequestError(
      `row ${change.row} has no column "${change.column}": expected one of ${
        COLUMNS[kind].map((it) => it.name).join(", ")
      }`,
    );
  }
  const violation = checkCell(def, change.value);
  if (violation !== undefined) {
    throw new BadRequestError(`row ${change.row}: ${violation}`);
  }
}

function rejectStaleChanges(table: Table, edit: Edit): void {
  const stale = edit.changes.filter((change) => isStale(table, change));
  if (stale.length === 0) return;
  const descriptions = stale.map((change) => describeStale(table, change));
  throw new ConflictError(
    `cells have changed since the table was read: ${descriptions.join("; ")}`,
  );
}

function isStale(table: Table, change: CellChange): boolean {
  const row = findRow(table, change.row);
  if (!row) return change.seen !== null;
  if (change.seen === null) return true;
  return !areCellsEqual(getCellValue(row, change.column), change.seen);
}

function describeStale(table: Table, change: CellChange): string {
  const row = findRow(table, change.row);
  const current = row
    ? formatCell(getCellValue(row, change.column))
    : "no such row";
  const seen = change.seen === null ? "no such row" : formatCell(change.seen);
  return `${change.row} ${change.column} was ${seen} and is ${current}`;
}

function setCell(rows: Map<string, Row>, change: CellChange): void {
  const row = rows.get(change.row);
  rows.set(change.row, {
    id: change.row,
    cells: { ...row?.cells, [change.column]: change.value },
  });
}

function checkRequiredCells(row: Row | undefined): void {
  if (!row) return;
  const { kind } = parseRowId(row.id);
  for (const def of COLUMNS[kind]) {
    if (def.default === undefined && row.cells[def.name] === undefined) {
      throw new BadRequestError(
        `row ${row.id} requires a value for column ${def.name}`,
      );
    }
  }
}
