import { expect } from "earl";
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { parseScript, runScenario } from "../src/mod.ts";

const SCRIPTS = join(
  dirname(fileURLToPath(import.meta.url)),
  "..",
  "..",
  "scripts",
);
const MAX_PARALLEL_SCENARIOS = 2;

describe("scenario scripts on real processes", {
  concurrency: MAX_PARALLEL_SCENARIOS,
}, () => {
  for (const file of readdirSync(SCRIPTS).sort()) {
    const name = file.replace(".scenario", "");
    it(name.replaceAll("_", " "), async () => {
      const steps = parseScript(
        file,
        readFileSync(join(SCRIPTS, file), "utf8"),
      );
      const logFolder = `out/tests/${name}`;
      const result = await runScenario(steps, { logFolder });
      expect(result.failure).toEqual(undefined);
      expect(result.violations).toEqual([]);
    });
  }
});
