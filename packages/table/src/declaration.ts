import { BadRequestError } from "@toucantrestle/verdict";
import { isMap, isScalar, LineCounter, type Node, parseDocument } from "yaml";
import { type CellValue, checkCell } from "./cell.ts";
import { findColumn, ROW_KINDS, type RowKind } from "./columns.ts";
import { type Cells, parseRowId, type Row, type Table } from "./table.ts";

/** Name of the declaration section for each row kind. */
const SECTIONS: Record<RowKind, string> = {
  caller: "callers",
  upstream: "upstreams",
  route: "routes",
  model: "models",
  system: "system",
};

/**
 * Parses the rows of a YAML declaration. If any part of the declaration is
 * invalid, the whole declaration is rejected.
 *
 * @throws {BadRequestError} with line and column of the first error
 */
export function parseDeclaration(text: string): Row[] {
  const lineCounter = new LineCounter();
  const doc = parseDocument(text, { lineCounter });
  const err = doc.errors[0];
  if (err) throw errorAt(lineCounter, err.pos[0], stripPosition(err.message));
  const reader = new DeclarationReader(lineCounter);
  return reader.read(doc.contents);
}

/**
 * Formats a table as a YAML declaration. The output is deterministic: equal
 * rows give the same text.
 */
export function formatDeclaration(table: Table): string {
  const parts: string[] = [];
  for (const kind of ROW_KINDS) {
    const rows = table.rows.filter((row) => parseRowId(row.id).kind === kind);
    if (rows.length === 0) continue;
    parts.push(`${SECTIONS[kind]}:\n${rows.map(formatRow).join("")}`);
  }
  return parts.join("\n");
}

class DeclarationReader {
  readonly #lineCounter: LineCounter;
  readonly #rows: Row[] = [];

  constructor(lineCounter: LineCounter) {
    this.#lineCounter = lineCounter;
  }

  read(contents: unknown): Row[] {
    if (contents === null) return [];
    for (
      const [section, body] of this.#mappingEntries(contents, "the declaration")
    ) {
      const kind = ROW_KINDS.find((it) => SECTIONS[it] === section.text);
      if (!kind) {
        throw this.#errorAt(
          section.node,
          `unknown section "${section.text}": expected one of ${
            Object.values(SECTIONS).join(", ")
          }`,
        );
      }
      this.#readSection(kind, body);
    }
    return this.#rows.sort((a, b) => a.id < b.id ? -1 : 1);
  }

  #readSection(kind: RowKind, body: unknown): void {
    for (const [name, cells] of this.#mappingEntries(body, SECTIONS[kind])) {
      const id = `${kind}/${name.text}`;
      try {
        parseRowId(id);
      } catch {
        throw this.#errorAt(name.node, `invalid row name "${name.text}"`);
      }
      this.#rows.push({ id, cells: this.#readCells(kind, cells, id) });
    }
  }

  #readCells(kind: RowKind, body: unknown, id: string): Cells {
    const cells: Cells = {};
    for (const [column, value] of this.#mappingEntries(body, id)) {
      const def = findColumn(kind, column.text);
      if (!def) {
        throw this.#errorAt(
          column.node,
          `${id} has no column "${column.text}"`,
        );
      }
      const parsedValue = (value as Node).toJSON() as unknown;
      const error = checkCell(def, parsedValue);
      if (error !== undefined) throw this.#errorAt(value, `${id}: ${error}`);
      cells[def.name] = parsedValue as CellValue;
    }
    return cells;
  }

  #mappingEntries(
    node: unknown,
    label: string,
  ): [{ text: string; node: unknown }, unknown][] {
    if (!isMap(node)) throw this.#errorAt(node, `${label} must be a mapping`);
    return node.items.map((pair) => {
      const { key } = pair;
      const text = isScalar(key) ? String(key.value) : "";
      if (pair.value === null) {
        throw this.#errorAt(key, `"${text}" has no value`);
      }
      return [{ text, node: key }, pair.value];
    });
  }

  #errorAt(node: unknown, message: string) {
    const range = (node as Node | null)?.range;
    return errorAt(this.#lineCounter, range?.[0] ?? 0, message);
  }
}

function errorAt(
  lineCounter: LineCounter,
  offset: number,
  message: string,
) {
  const { line, col } = lineCounter.linePos(offset);
  return new BadRequestError(`line ${line}, column ${col}: ${message}`);
}

function stripPosition(message: string): string {
  return message.split("\n")[0]?.replace(/ at line .*$/, "") ?? message;
}

function formatRow(row: Row): string {
  const { name } = parseRowId(row.id);
  const cells = Object.entries(row.cells)
    .sort(([a], [b]) => a < b ? -1 : 1)
    .map(([column, value]) => `    ${column}: ${JSON.stringify(value)}\n`);
  return `  ${name}:\n${cells.join("")}`;
}
