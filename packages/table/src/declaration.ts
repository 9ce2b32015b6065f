import { BadRequestError } from "@toucantrestle/verdict";
import { isMap, isScalar, LineCounter, type Node, parseDocument } from "yaml";
import { type CellValue, checkCell } from "./cell.ts";
import { findColumn, ROW_KINDS, type RowKind } from "./columns.ts";
import { type Cells, parseRowId, type Row, type Table } from "./table.ts";

/** Section of a declaration file for each kind of row. */
const SECTIONS: Record<RowKind, string> = {
  caller: "callers",
  upstream: "upstreams",
  route: "routes",
  model: "models",
  system: "system",
};

/**
 * Reads the rows of a declaration in YAML. A broken declaration is refused
 * whole.
 *
 * @throws {BadRequestError} with line and column of the first fault
 */
export function parseDeclaration(text: string): Row[] {
  const lines = new LineCounter();
  const doc = parseDocument(text, { lineCounter: lines });
  const fault = doc.errors[0];
  if (fault) throw at(lines, fault.pos[0], firstLine(fault.message));
  const reader = new DeclarationReader(lines);
  return reader.read(doc.contents);
}

/** Writes a table as a declaration in YAML, the same text for the same rows. */
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
  readonly #lines: LineCounter;
  readonly #rows: Row[] = [];

  constructor(lines: LineCounter) {
    this.#lines = lines;
  }

  read(contents: unknown): Row[] {
    if (contents === null) return [];
    for (const [section, body] of this.#pairs(contents, "the declaration")) {
      const kind = ROW_KINDS.find((it) => SECTIONS[it] === section.text);
      if (!kind) {
        throw this.#fault(
          section.node,
          `section "${section.text}" is not known: use ${
            Object.values(SECTIONS).join(", ")
          }`,
        );
      }
      this.#readSection(kind, body);
    }
    return this.#rows.sort((a, b) => a.id < b.id ? -1 : 1);
  }

  #readSection(kind: RowKind, body: unknown): void {
    for (const [name, cells] of this.#pairs(body, SECTIONS[kind])) {
      const id = `${kind}/${name.text}`;
      try {
        parseRowId(id);
      } catch {
        throw this.#fault(name.node, `"${name.text}" is not a row name`);
      }
      this.#rows.push({ id, cells: this.#readCells(kind, cells, id) });
    }
  }

  #readCells(kind: RowKind, body: unknown, id: string): Cells {
    const cells: Cells = {};
    for (const [column, value] of this.#pairs(body, id)) {
      const def = findColumn(kind, column.text);
      if (!def) {
        throw this.#fault(column.node, `${id} has no column "${column.text}"`);
      }
      const plain = (value as Node).toJSON() as unknown;
      const fault = checkCell(def, plain);
      if (fault !== undefined) throw this.#fault(value, `${id}: ${fault}`);
      cells[def.name] = plain as CellValue;
    }
    return cells;
  }

  #pairs(
    node: unknown,
    what: string,
  ): [{ text: string; node: unknown }, unknown][] {
    if (!isMap(node)) throw this.#fault(node, `${what} must be a mapping`);
    return node.items.map((pair) => {
      const { key } = pair;
      const text = isScalar(key) ? String(key.value) : "";
      if (pair.value === null) {
        throw this.#fault(key, `"${text}" has no value`);
      }
      return [{ text, node: key }, pair.value];
    });
  }

  #fault(node: unknown, message: string) {
    const range = (node as Node | null)?.range;
    return at(this.#lines, range?.[0] ?? 0, message);
  }
}

function at(lines: LineCounter, offset: number, message: string) {
  const { line, col } = lines.linePos(offset);
  return new BadRequestError(`line ${line}, column ${col}: ${message}`);
}

function firstLine(message: string): string {
  return message.split("\n")[0]?.replace(/ at line .*$/, "") ?? message;
}

function formatRow(row: Row): string {
  const { name } = parseRowId(row.id);
  const cells = Object.entries(row.cells)
    .sort(([a], [b]) => a < b ? -1 : 1)
    .map(([column, value]) => `    ${column}: ${JSON.stringify(value)}\n`);
  return `  ${name}:\n${cells.join("")}`;
}
