import { expect } from "earl";
import { readdirSync, readFileSync } from "node:fs";
import { join, relative } from "node:path";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../../../../", import.meta.url));
const FOLDERS = ["packages", "platform", "deploy"];
const SOURCE = /(^|\/)(src|deploy)\/.*\.(ts|c?js)$/;
const EXIT_CALL = /process\.(exit|abort|kill)\(/;

/** Files that end a process at its start, because of its arguments. */
const ALLOWED = [
  "deploy/loader.cjs",
  "packages/lifecycle/src/exit.ts",
  "packages/settings/src/mod.ts",
];

function listSources(): string[] {
  return FOLDERS.flatMap((folder) =>
    readdirSync(join(ROOT, folder), { recursive: true, withFileTypes: true })
      .filter((it) => it.isFile())
      .map((it) => relative(ROOT, join(it.parentPath, it.name)))
      .filter((it) => SOURCE.test(it) && !/node_modules|\/dist\//.test(it))
  );
}

describe("sources of the processes", () => {
  // Guards against an end of a process that is not in the table of reasons.
  it("end a process only through the table of reasons", () => {
    const found = listSources().filter((it) =>
      EXIT_CALL.test(readFileSync(join(ROOT, it), "utf8"))
    );
    expect(found.sort()).toEqual(ALLOWED);
  });
});
