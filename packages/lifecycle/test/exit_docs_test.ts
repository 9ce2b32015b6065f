import { expect } from "earl";
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { EXIT_RULES } from "../src/mod.ts";

const PAGE = new URL("../../../../docs/OPERATIONS.md", import.meta.url);
const ROW = /^\| `(\w+)` +\| (\d+) +\| (.*\S) +\|$/gm;

describe("operators' page", () => {
  it("lists the reasons for which a process ends", () => {
    const rows = [...readFileSync(PAGE, "utf8").matchAll(ROW)].map((
      [, reason, status, meaning],
    ) => [reason, { status: Number(status), meaning }]);
    expect(Object.fromEntries(rows)).toEqual(
      EXIT_RULES as unknown as Record<string, unknown>,
    );
  });
});
