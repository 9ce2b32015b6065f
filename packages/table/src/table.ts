import { NotFoundError } from "@toucantrestle/verdict";
import type { CellValue } from "./cell.ts";
import { COLUMNS, ROW_KINDS, type RowKind } from "./columns.ts";

/** Cells of a row by column; columns at their default may be absent. */
export type Cells = Record<string, CellValue>;

/** One row of the table. */
export interface Row {
  /** Kind, slash, name: for instance `caller/branches`. */
  id: string;
  cells: Cells;
}

/** One accepted state of the table. */
export interface Table {
  /** Grows by one with each accepted edit. */
  revision: number;
  /** Ordered by id. */
  rows: Row[];
  /** Newest accepted edits, to settle writes whose answer was lost. */
  recentWrites: RecentWrite[];
}

/** Trace of an accepted edit. */
export interface RecentWrite {
  writeId: string;
  revision: number;
}

/** The table before its first edit. */
export const EMPTY_TABLE: Table = { revision: 0, rows: [], recentWrites: [] };

/**
 * Splits a row id.
 *
 * @throws {NotFoundError} when the kind is not known
 */
export function parseRowId(id: string): { kind: RowKind; name: string } {
  const [kind, ...rest] = id.split("/");
  const name = rest.join("/");
  if (!isRowKind(kind) || !/^[\w.-]{1,80}$/.test(name)) {
    throw new NotFoundError(
      `row "${id}" is not known: a row id is one of ${
        ROW_KINDS.join(", ")
      }, a slash and a name`,
    );
  }
  return { kind, name };
}

/** Finds a row by its id. */
export function findRow(table: Table, id: string): Row | undefined {
  return table.rows.find((row) => row.id === id);
}

/** Value of a cell, or the default of its column. */
export function cellOf(row: Row, column: string): CellValue | undefined {
  const given = row.cells[column];
  if (given !== undefined) return given;
  const { kind } = parseRowId(row.id);
  return COLUMNS[kind].find((def) => def.name === column)?.default;
}

function isRowKind(kind: string | undefined): kind is RowKind {
  return (ROW_KINDS as readonly (string | undefined)[]).includes(kind);
}
