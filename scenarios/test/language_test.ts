import { expect } from "earl";
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { parseScript, ScriptError } from "../src/mod.ts";

const SCRIPTS = join(
  dirname(fileURLToPath(import.meta.url)),
  "..",
  "..",
  "scripts",
);

describe("parseScript", () => {
  it("parses one step per line and skips comments", () => {
    const steps = parseScript(
      "test",
      '# a comment\nstart a by alice budget 10\nchat a "hi" streamed as x # go\n',
    );
    expect(steps.map((it) => [it.line, it.kind])).toEqual([
      [2, "start"],
      [3, "chat"],
    ]);
  });

  it("converts durations to milliseconds", () => {
    const [step] = parseScript("test", "wait 1.5 s");
    expect(step).toEqual({ line: 1, kind: "wait", ms: 1_500 });
  });

  it("reports the position of a syntax error and the expected input", () => {
    expect(() => parseScript("test", "wait 3 s\nkil owner of a\n"))
      .toThrow("test:2:1: Expected");
    expect(() => parseScript("test", "wait 3\n")).toThrow(ScriptError);
  });

  it("parses every script in the scripts folder", () => {
    for (const file of readdirSync(SCRIPTS)) {
      const text = readFileSync(join(SCRIPTS, file), "utf8");
      expect(parseScript(file, text).length > 0).toEqual(true);
    }
  });
});
