import { NotFoundError } from "@toucantrestle/verdict";
import type { CellValue } from "./cell.ts";
import { COLUMNS, ROW_KINDS, type RowKind } from "./columns.ts";

/** Cells of a row by column name; cells at their default may be absent. */
export type Cells = Record<string, CellValue>;

/** One row of the table. */
export interface Row {
  /** Id of the form `kind/name`, such as `caller/branches`. */
  id: string;
  cells: Cells;
}

/** One revision of the table. */
export interface Table {
  /** Incremented by one with each accepted edit. */
  revision: number;
  /** Sorted by id. */
  rows: Row[];
  /**
   * Latest accepted edits. They show whether a write was accepted if its
   * response was lost.
   */
  recentWrites: RecentWrite[];
}

/** Write id of an accepted edit and the revision it created. */
export interface RecentWrite {
  writeId: string;
  revision: number;
}

/** Table before the first edit. */
export const EMPTY_TABLE: Table = { revision: 0, rows: [], recentWrites: [] };

/**
 * Splits a row id into kind and name.
 *
 * @throws {NotFoundError} if the kind is unknown or the name is invalid
 */
export function parseRowId(id: string): { kind: RowKind; name: string } {
  const [kind, ...rest] = id.split("/");
  const name = rest.join("/");
  if (!isRowKind(kind) || !/^[\w.-]{1,80}$/.test(name)) {
    throw new NotFoundError(
      `invalid row id "${id}": expected kind/name with one of the kinds ${
        ROW_KINDS.join(", ")
      }`,
    );
  }
  return { kind, name };
}

/** Returns the row with the given id. */
export function findRow(table: Table, id: string): Row | undefined {
  return table.rows.find((row) => row.id === id);
}

/** Returns the value of a cell, or the default value of its column. */
export function getCellValue(row: Row, column: string): CellValue | undefined {
  const value = row.cells[column];
  if (value !== undefined) return value;
  const { kind } = parseRowId(row.id);
  return COLUMNS[kind].find((def) => def.name === column)?.default;
}

function isRowKind(kind: string | undefined): kind is RowKind {
  return (ROW_KINDS as readonly (string | undefined)[]).includes(kind);
}
