import { expect } from "earl";
import fc from "fast-check";
import { describe, it } from "node:test";
import {
  applyEdit,
  type CellChange,
  createTableView,
  diffTable,
  type Edit,
  EMPTY_TABLE,
  formatDeclaration,
  parseDeclaration,
  type Table,
  tableWarnings,
} from "../src/mod.ts";

let nextWriteNumber = 1;

function edit(...changes: CellChange[]): Edit {
  return {
    writeId: `write-${nextWriteNumber++}`,
    author: "op",
    reason: "",
    changes,
    removals: [],
  };
}

function change(
  row: string,
  column: string,
  seen: CellChange["seen"],
  value: CellChange["value"],
): CellChange {
  return { row, column, seen, value };
}

function createTable(): Table {
  return applyEdit(
    EMPTY_TABLE,
    edit(
      change("caller/a", "weight", null, 1),
      change("caller/b", "weight", null, 2),
    ),
  );
}

describe("applyEdit", () => {
  it("merges concurrent edits of different cells", () => {
    const seen = createTable();
    const first = applyEdit(seen, edit(change("caller/a", "weight", 1, 5)));
    const second = applyEdit(first, edit(change("caller/b", "weight", 2, 6)));
    const { callers } = createTableView(second);
    expect(callers.get("a")?.weight).toEqual(5);
    expect(callers.get("b")?.weight).toEqual(6);
    expect(second.revision).toEqual(3);
  });

  it("rejects a stale edit and reports the read and the current value", () => {
    const table = applyEdit(
      createTable(),
      edit(change("caller/a", "weight", 1, 5)),
    );
    expect(() => applyEdit(table, edit(change("caller/a", "weight", 1, 9))))
      .toThrow("caller/a weight was 1 and is 5");
  });

  it("accepts an edit once per write id", () => {
    const table = createTable();
    const repeated = edit(change("caller/a", "weight", 1, 5));
    const once = applyEdit(table, repeated);
    expect(applyEdit(once, repeated)).toEqual(once);
  });

  it("rejects a value out of bounds and an unknown column", () => {
    const table = createTable();
    const bad = edit(change("caller/a", "weight", 1, -1));
    expect(() => applyEdit(table, bad)).toThrow("weight");
    const unknown = edit(change("caller/a", "wieght", null, 1));
    expect(() => applyEdit(table, unknown)).toThrow('no column "wieght"');
  });

  it("treats an unset cell as having the default value", () => {
    const table = applyEdit(
      createTable(),
      edit(change("caller/a", "max_calls", 1_000, 20)),
    );
    expect(createTableView(table).callers.get("a")?.maxCalls).toEqual(20);
  });

  it("requires a value for each column without a default", () => {
    const bad = edit(change("upstream/e", "kind", null, "engine"));
    expect(() => applyEdit(EMPTY_TABLE, bad)).toThrow("requires a value");
  });
});

describe("declarations", () => {
  const text = `
callers:
  a:
    weight: 3
    data_centres: [dc-1, dc-2]
system:
  main:
    queue_limit: 10
`;

  it("give an empty diff after they are applied", () => {
    const rows = parseDeclaration(text);
    const { changes } = diffTable(EMPTY_TABLE, rows);
    const table = applyEdit(EMPTY_TABLE, edit(...changes));
    expect(diffTable(table, rows)).toEqual({ changes: [], removals: [] });
  });

  it("survive a round trip through formatDeclaration", () => {
    const rows = parseDeclaration(text);
    const { changes } = diffTable(EMPTY_TABLE, rows);
    const table = applyEdit(EMPTY_TABLE, edit(...changes));
    expect(parseDeclaration(formatDeclaration(table))).toEqual(rows);
  });

  it("are rejected with the line and column of the error", () => {
    const cases: [string, string][] = [
      ["callers:\n  a:\n    weight: heavy\n", "line 3, column 13"],
      ["callers:\n  a:\n    wieght: 1\n", "line 3, column 5"],
      ["calers:\n  a: {}\n", "line 1, column 1"],
      ["callers: [a]\n", "line 1, column 10"],
      ["callers:\n  a: {weight: 1\n", "line 3, column 1"],
    ];
    for (const [invalidText, position] of cases) {
      expect(() => parseDeclaration(invalidText)).toThrow(position);
    }
  });

  it("reset omitted cells and remove omitted rows", () => {
    const table = applyEdit(
      createTable(),
      edit(change("caller/a", "max_calls", 1_000, 20)),
    );
    const rows = parseDeclaration("callers:\n  a:\n    weight: 1\n");
    const difference = diffTable(table, rows);
    expect(difference.removals).toEqual(["caller/b"]);
    expect(difference.changes).toEqual([
      change("caller/a", "max_calls", 20, 1_000),
    ]);
  });
});

describe("concurrent operators", () => {
  it("never lose an accepted edit in any interleaving", () => {
    const attempt = fc.record({
      row: fc.constantFrom("caller/a", "caller/b"),
      column: fc.constantFrom("weight", "max_calls"),
      revisionsBehind: fc.integer({ min: 0, max: 5 }),
      value: fc.integer({ min: 1, max: 9 }),
    });
    fc.assert(fc.property(fc.array(attempt), (attempts) => {
      const versions = [createTable()];
      const accepted = new Map<string, number>();
      for (const { row, column, revisionsBehind, value } of attempts) {
        const latest = versions.at(-1) as Table;
        const seenTable =
          versions[Math.max(0, versions.length - 1 - revisionsBehind)];
        const seen = cellValue(seenTable as Table, row, column);
        try {
          versions.push(
            applyEdit(latest, edit(change(row, column, seen, value))),
          );
          accepted.set(`${row} ${column}`, value);
        } catch {
          continue;
        }
      }
      const last = versions.at(-1) as Table;
      for (const [key, value] of accepted) {
        const [row = "", column = ""] = key.split(" ");
        expect(cellValue(last, row, column)).toEqual(value);
      }
      const revisions = versions.map((it) => it.revision);
      expect(revisions).toEqual(revisions.map((_, index) => index + 1));
    }));
  });
});

describe("tableWarnings", () => {
  it("reports a table in which every caller has weight 0", () => {
    const table = applyEdit(
      EMPTY_TABLE,
      edit(change("caller/a", "weight", null, 0)),
    );
    expect(tableWarnings(table)).toEqual([
      "every caller has weight 0: no caller gets a share of the upstreams",
    ]);
  });
});

function cellValue(table: Table, row: string, column: string): number {
  const cells = table.rows.find((it) => it.id === row)?.cells;
  return cells?.[column] as number | undefined ??
    (column === "max_calls" ? 1_000 : 1);
}
