/**
 * Data model of the operators' table: rows, cells, edits, revisions and YAML
 * declarations. Performs no I/O.
 *
 * @module
 */
export {
  areCellsEqual,
  type CellType,
  type CellValue,
  checkCell,
  type ColumnDef,
  formatCell,
  parseCell,
} from "./cell.ts";
export {
  COLUMNS,
  findColumn,
  ROW_KINDS,
  type RowKind,
  SYSTEM_ROW_ID,
} from "./columns.ts";
export {
  type Cells,
  EMPTY_TABLE,
  findRow,
  getCellValue,
  parseRowId,
  type RecentWrite,
  type Row,
  type Table,
} from "./table.ts";
export {
  applyEdit,
  type CellChange,
  createRowChanges,
  type Edit,
  type EditRecord,
  findRecentWrite,
} from "./edit.ts";
export type * from "./views.ts";
export { createTableView } from "./views.ts";
export { formatDeclaration, parseDeclaration } from "./declaration.ts";
export { type Difference, diffTable, formatDifference } from "./diff.ts";
export { tableWarnings } from "./warnings.ts";
