import { formatReference } from "@toucantrestle/settings";
import { expect } from "earl";
import { readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { DAEMON_SETTINGS } from "../src/mod.ts";

const REFERENCE_PAGE = join(
  dirname(fileURLToPath(import.meta.url)),
  ...["..", "..", "..", "..", "docs", "operators", "settings.md"],
);

/** Collapses white space, since the formatter may wrap the page's lines. */
function normalizeWhitespace(text: string): string {
  return text.replace(/\s+/g, " ").trim();
}

describe("settings reference", () => {
  it("matches the setting definitions of the daemon", () => {
    const expected = formatReference("toucantrestled", DAEMON_SETTINGS);
    expect(normalizeWhitespace(readFileSync(REFERENCE_PAGE, "utf8"))).toEqual(
      normalizeWhitespace(expected),
    );
  });
});
